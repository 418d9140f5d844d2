//! Tests of applying operators' files: concurrent edits, lost responses, withdrawals.

mod operator_common;

use beechsaddle::operator::{ItemId, LedgerRefusal, OperatorError, read_declared};
use beechsaddle_core::accounting::OpenGrant;
use beechsaddle_core::catalogue::{CatalogueChange, EntryEdit, change_key};
use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::names::{BudgetName, KeyText, OwnerName};
use beechsaddle_core::objects::PlatformObject;

use operator_common::{MemoryStore, WriteFault, apply, base, block_on, declared, small};

const ONE: &str = r#"{ id = "jan", tokens = 1000 }"#;
const TWO: &str = r#"{ id = "jan", tokens = 1000 }, { id = "feb", tokens = 500 }"#;

fn rename_model_owner(text: &str, owner: &str) -> String {
    let (head, model) = text.split_once("[[model]]").expect("model");
    format!(
        "{head}[[model]]{}",
        model.replace("\"ana\"", &format!("{owner:?}"))
    )
}

#[test]
fn apply_empty_fleet_commits_and_writes_ledger() {
    block_on(async {
        let store = MemoryStore::default();
        let files = declared(&small("iva", ONE));
        let outcome = apply(&store, "iva", &files, &base(0))
            .await
            .expect("applied");
        assert_eq!((outcome.revision, outcome.edits), (1, 4));
        assert_eq!(outcome.base, base(1));
        let account = store.account("pekara-main").expect("account");
        assert_eq!(account.top_ups.get("jan"), Some(&1_000));
        let again = apply(&store, "iva", &files, &outcome.base)
            .await
            .expect("applied");
        assert_eq!((again.revision, again.edits), (1, 0));
    });
}

// Two operators edit different entries on the same base. The second finds the next revision taken
// and is applied on top of it, so that neither edit is lost. Its files lack the other edit, so its
// base must not advance: otherwise its next apply would revert the other edit.
#[test]
fn apply_race_other_entries_rebases() {
    block_on(async {
        let store = MemoryStore::default();
        let first = declared(&small("iva", ONE));
        apply(&store, "iva", &first, &base(0))
            .await
            .expect("applied");
        let own_files = declared(&small("iva", TWO));
        let other_files = declared(&rename_model_owner(&small("iva", ONE), "mato"));
        apply(&store, "mato", &other_files, &base(1))
            .await
            .expect("applied");
        let outcome = apply(&store, "iva", &own_files, &base(1))
            .await
            .expect("rebased");
        assert_eq!((outcome.revision, outcome.edits), (3, 1));
        assert_eq!(outcome.missing.len(), 1);
        assert_eq!(outcome.base.revision, 1);
        // Applying the same files again reverts nothing.
        let again = apply(&store, "iva", &own_files, &outcome.base)
            .await
            .expect("applied");
        assert_eq!((again.revision, again.edits), (3, 0));
        // Once the files contain the other edit, they are in sync.
        let merged = declared(&rename_model_owner(&small("iva", TWO), "mato"));
        let last = apply(&store, "iva", &merged, &again.base)
            .await
            .expect("applied");
        assert_eq!((last.edits, last.base), (0, base(3)));
    });
}

// Files that lack another operator's change keep their base. A second edit of the items that they
// applied themselves must not conflict with their own first edit.
#[test]
fn apply_second_own_edit_on_old_base_is_no_conflict() {
    block_on(async {
        let store = MemoryStore::default();
        let first = declared(&small("iva", ONE));
        apply(&store, "iva", &first, &base(0))
            .await
            .expect("applied");
        let other_files = declared(&rename_model_owner(&small("iva", ONE), "mato"));
        apply(&store, "mato", &other_files, &base(1))
            .await
            .expect("applied");
        let own_files = declared(&small("iva", TWO));
        let rebased = apply(&store, "iva", &own_files, &base(1))
            .await
            .expect("rebased");
        assert_eq!(rebased.base.applied, [3].into_iter().collect());
        let own_files = declared(&small("iva", ONE));
        let again = apply(&store, "iva", &own_files, &rebased.base)
            .await
            .expect("applied");
        assert_eq!((again.revision, again.edits), (4, 1));
    });
}

// Two operators edit the same workspace on the same base. The second gets the entry, its owner, and
// the author and revision of the first edit. Nothing of its edit is applied, including the entries
// that have no conflict.
#[test]
fn apply_race_same_entry_reports_conflict() {
    block_on(async {
        let store = MemoryStore::default();
        let first = declared(&small("iva", ONE));
        apply(&store, "iva", &first, &base(0))
            .await
            .expect("applied");
        let other_files = declared(&small("mato", ONE));
        apply(&store, "mato", &other_files, &base(1))
            .await
            .expect("applied");
        let own_files = declared(&rename_model_owner(&small("eva", ONE), "eva"));
        let error = apply(&store, "eva", &own_files, &base(1))
            .await
            .expect_err("conflict");
        let OperatorError::Conflicts(conflicts) = &error else {
            panic!("{error}");
        };
        assert_eq!(conflicts.len(), 2);
        let text = error.to_string();
        let line = "conflict: workspace pekara (owner mato) was changed by mato in revision 2; \
                    your edit is based on revision 1";
        assert!(text.contains(line), "{text}");
        assert!(text.contains("budget pekara-main (owner mato)"), "{text}");
        assert_eq!(store.get(change_key(3).as_str()), None);
    });
}

// Another operator's revert restores an entry to its value at the base. The files that made the
// reverted edit must not repeat it unasked, which a comparison of values alone would do.
#[test]
fn apply_after_revert_by_other_preserves_the_revert() {
    block_on(async {
        let store = MemoryStore::default();
        let first = declared(&small("iva", ONE));
        apply(&store, "iva", &first, &base(0))
            .await
            .expect("applied");
        let other = declared(&rename_model_owner(&small("iva", ONE), "mato"));
        apply(&store, "mato", &other, &base(1))
            .await
            .expect("applied");
        let own_files = declared(&small("iva", TWO));
        let rebased = apply(&store, "iva", &own_files, &base(1))
            .await
            .expect("rebased");
        let reverted = declared(&rename_model_owner(&small("iva", ONE), "mato"));
        apply(&store, "mato", &reverted, &base(3))
            .await
            .expect("reverted");
        let outcome = apply(&store, "iva", &own_files, &rebased.base)
            .await
            .expect("left");
        let budget = ItemId::Budget(BudgetName::new("pekara-main"));
        assert_eq!(outcome.edits, 0);
        let missing = outcome
            .missing
            .iter()
            .find(|missing| missing.item == budget);
        let missing = missing.expect("the reverted budget");
        assert_eq!((missing.author.as_str(), missing.revision), ("mato", 4));
        // A further edit of the same budget conflicts, since it was made without knowledge of the
        // revert.
        let own_files = declared(&small("eva", TWO));
        let error = apply(&store, "iva", &own_files, &outcome.base)
            .await
            .expect_err("conflict");
        assert!(error.to_string().contains("budget pekara-main"), "{error}");
    });
}

// Another edit takes the next revision between the read and the commit of this one.
#[test]
fn commit_taken_revision_plans_again() {
    block_on(async {
        let store = MemoryStore::default();
        let first = declared(&small("iva", ONE));
        apply(&store, "iva", &first, &base(0))
            .await
            .expect("applied");
        let other_files = declared(&rename_model_owner(&small("iva", ONE), "mato"));
        let entry = other_files
            .entries
            .values()
            .next_back()
            .expect("model")
            .clone();
        let change = CatalogueChange {
            revision: 2,
            write_id: "other".to_string(),
            author: OwnerName::new("mato"),
            applied: ClockTime::ZERO,
            edits: vec![EntryEdit::Put(entry)],
        };
        store.insert_before_write(change_key(2).as_str(), PlatformObject::Change(change));
        let own_files = declared(&small("iva", TWO));
        let outcome = apply(&store, "iva", &own_files, &base(1))
            .await
            .expect("applied");
        assert_eq!(outcome.revision, 3);
    });
}

// The commit takes effect, its response is lost, and the platform is unreachable afterwards. The
// operator gets an unknown outcome. A repeat with the same files finds their own change, even after
// other changes, and commits no second one.
#[test]
fn apply_lost_answer_repeat_finds_committed_change() {
    block_on(async {
        let store = MemoryStore::default();
        let files = declared(&small("iva", ONE));
        store.fault("catalogue/change/", WriteFault::AnswerLost);
        store.fail_after_fault();
        let error = apply(&store, "iva", &files, &base(0))
            .await
            .expect_err("unknown");
        assert!(
            matches!(error, OperatorError::OutcomeUnknown { revision: 1 }),
            "{error}"
        );
        store.recover();
        let other = declared(&rename_model_owner(&small("iva", ONE), "mato"));
        apply(&store, "mato", &other, &base(1))
            .await
            .expect("applied");
        let outcome = apply(&store, "iva", &files, &base(0))
            .await
            .expect("applied");
        assert_eq!(
            (outcome.earlier, outcome.edits, outcome.revision),
            (Some(1), 0, 2)
        );
        assert_eq!(outcome.missing.len(), 1);
        assert!(store.account("pekara-main").is_some());
    });
}

#[test]
fn apply_lost_answer_read_back_is_success() {
    block_on(async {
        for fault in [WriteFault::AnswerLost, WriteFault::RequestLost] {
            let store = MemoryStore::default();
            let files = declared(&small("iva", ONE));
            store.fault("catalogue/change/", fault);
            store.fault("ledger/", fault);
            let outcome = apply(&store, "iva", &files, &base(0))
                .await
                .expect("applied");
            assert_eq!((outcome.revision, outcome.edits), (1, 4));
            let account = store.account("pekara-main").expect("account");
            assert_eq!(account.top_ups.get("jan"), Some(&1_000));
        }
    });
}

// A router holds 700 tokens of 1,000 and 100 are billed. Withdrawing 500 would let the router spend
// refunded tokens, so the edit is refused with the number of free tokens, and nothing is changed.
// Free tokens can be withdrawn exactly once, even if the response to that write is lost.
#[test]
fn apply_withdrawal_beyond_free_is_refused() {
    block_on(async {
        let store = MemoryStore::default();
        let files = declared(&small("iva", ONE));
        let outcome = apply(&store, "iva", &files, &base(0))
            .await
            .expect("applied");
        store.edit_account("pekara-main", |account| {
            account.settled = 100;
            let grant = OpenGrant {
                amount: 800,
                folded: 100,
                ..OpenGrant::default()
            };
            account.grants.insert(KeyText::new("entry-1@1.0"), grant);
        });
        let lowered = declared(&small("iva", r#"{ id = "jan", tokens = 500 }"#));
        let error = apply(&store, "iva", &lowered, &outcome.base)
            .await
            .expect_err("refused");
        let OperatorError::Refusals(refusals) = &error else {
            panic!("{error}");
        };
        let refusal = LedgerRefusal::NotFree {
            budget: BudgetName::new("pekara-main"),
            owner: OwnerName::new("iva"),
            requested: 500,
            free: 200,
        };
        assert_eq!(refusals, &[refusal]);
        assert_eq!(store.get(change_key(2).as_str()), None);

        store.fault("ledger/", WriteFault::AnswerLost);
        let less = declared(&small("iva", r#"{ id = "jan", tokens = 850 }"#));
        let done = apply(&store, "iva", &less, &outcome.base)
            .await
            .expect("withdrawn");
        assert_eq!((done.revision, done.edits), (2, 1));
        let account = store.account("pekara-main").expect("account");
        assert_eq!(account.withdrawals.values().sum::<u64>(), 150);
        let again = apply(&store, "iva", &less, &done.base)
            .await
            .expect("nothing");
        assert_eq!(again.edits, 0);
    });
}

// A workspace and its budget are removed while a router holds a grant: the removal is refused,
// since the router may spend the grant. Once the grant is returned, the free tokens are withdrawn.
// The record of spent tokens remains and must not show as a permanent difference to the files.
#[test]
fn apply_removed_budget_in_use_is_refused_until_idle() {
    block_on(async {
        let store = MemoryStore::default();
        let files = declared(&small("iva", ONE));
        let outcome = apply(&store, "iva", &files, &base(0))
            .await
            .expect("applied");
        store.edit_account("pekara-main", |account| {
            account.settled = 300;
            let grant = OpenGrant {
                amount: 100,
                ..OpenGrant::default()
            };
            account.grants.insert(KeyText::new("entry-1@1.0"), grant);
        });
        let mut removed = files.clone();
        removed.budgets.clear();
        removed.entries.pop_first();
        let error = apply(&store, "iva", &removed, &outcome.base)
            .await
            .expect_err("in use");
        assert!(
            error
                .to_string()
                .contains("700 tokens cannot be withdrawn; 600 are free"),
            "{error}"
        );
        store.edit_account("pekara-main", |account| account.grants.clear());
        let done = apply(&store, "iva", &removed, &outcome.base)
            .await
            .expect("removed");
        assert_eq!((done.edits, done.base), (2, base(2)));
        let account = store.account("pekara-main").expect("on record");
        assert_eq!(
            (account.paid(), account.free(), account.settled),
            (300, 0, 300)
        );
        let again = apply(&store, "iva", &removed, &base(2))
            .await
            .expect("nothing");
        assert_eq!(again.edits, 0);
        let (_, shown) = read_declared(&store).await.expect("shown");
        assert_eq!(shown, removed);
    });
}

// A spent budget is removed from the files while its workspace remains. If it were still shown as
// declared, the next pull would bring it back. A budget that is spent but declared must stay
// visible.
#[test]
fn apply_removed_budget_of_remaining_workspace_is_not_shown() {
    block_on(async {
        let store = MemoryStore::default();
        let text = small("iva", ONE);
        let spare = "[[budget]]\nname = \"spare\"\nowner = \"iva\"\nworkspace = \"pekara\"\n\
                     top_up = [{ id = \"mar\", tokens = 500 }]\n";
        let files = declared(&format!("{text}\n{spare}"));
        let outcome = apply(&store, "iva", &files, &base(0))
            .await
            .expect("applied");
        store.edit_account("spare", |account| account.settled = 500);
        let (_, shown) = read_declared(&store).await.expect("shown");
        assert_eq!(shown, files, "it is spent and still declared");
        let less = declared(&text);
        let done = apply(&store, "iva", &less, &outcome.base)
            .await
            .expect("removed");
        assert_eq!(done.edits, 1);
        let (_, shown) = read_declared(&store).await.expect("shown");
        assert_eq!(shown, less);
        assert_eq!(store.account("spare").expect("on record").settled, 500);
        let again = apply(&store, "iva", &less, &done.base)
            .await
            .expect("nothing");
        assert_eq!(again.edits, 0);
        let back = format!("{text}\n{}", spare.replace("mar", "apr"));
        let back = declared(&back);
        let done = apply(&store, "iva", &back, &done.base).await;
        assert_eq!(done.expect("declared again").edits, 1);
        assert_eq!(store.account("spare").expect("account").free(), 500);
    });
}

#[test]
fn apply_raised_top_up_is_refused() {
    block_on(async {
        let store = MemoryStore::default();
        let files = declared(&small("iva", ONE));
        let outcome = apply(&store, "iva", &files, &base(0))
            .await
            .expect("applied");
        let raised = declared(&small("iva", r#"{ id = "jan", tokens = 2000 }"#));
        let error = apply(&store, "iva", &raised, &outcome.base)
            .await
            .expect_err("refused");
        assert!(
            error.to_string().contains("top-up jan holds 1000 tokens"),
            "{error}"
        );
    });
}

// The platform becomes unreachable between the commit and the write of the ledger. The operator
// gets an error that says that the change is committed and the budgets are not, and a repeat with
// the same files completes it.
#[test]
fn apply_platform_unreachable_before_ledger_is_completed_by_repeat() {
    block_on(async {
        let store = MemoryStore::default();
        let files = declared(&small("iva", ONE));
        store.fault("ledger/", WriteFault::RequestLost);
        store.fail_after_fault();
        let error = apply(&store, "iva", &files, &base(0))
            .await
            .expect_err("behind");
        assert!(
            matches!(error, OperatorError::LedgerBehind { revision: 1, .. }),
            "{error}"
        );
        store.recover();
        let outcome = apply(&store, "iva", &files, &base(0))
            .await
            .expect("finished");
        assert_eq!((outcome.earlier, outcome.edits), (Some(1), 0));
        let account = store.account("pekara-main").expect("account");
        assert_eq!(account.top_ups.get("jan"), Some(&1_000));
    });
}

// Files whose base is newer than the fleet's catalogue belong to another fleet. An apply would
// remove all entries that other operators declared.
#[test]
fn apply_other_fleets_base_is_refused() {
    block_on(async {
        let store = MemoryStore::default();
        let files = declared(&small("iva", ONE));
        let error = apply(&store, "iva", &files, &base(7))
            .await
            .expect_err("foreign");
        assert!(
            matches!(error, OperatorError::ForeignBase { base: 7, newest: 0 }),
            "{error}"
        );
    });
}

#[test]
fn apply_sixty_four_edits_write_a_base() {
    block_on(async {
        let store = MemoryStore::default();
        let mut at = base(0);
        for number in 0..66 {
            let files = declared(&rename_model_owner(
                &small("iva", ONE),
                &format!("o{number}"),
            ));
            at = apply(&store, "iva", &files, &at)
                .await
                .expect("applied")
                .base;
        }
        assert_eq!(at, base(66));
        let Some(PlatformObject::Head(head)) = store.get("catalogue/head") else {
            panic!("no head");
        };
        assert_eq!((head.revision, head.parts), (64, 1));
        // Reading from the written base gives the same catalogue as reading all changes, and
        // revisions older than that base remain readable.
        let files = declared(&rename_model_owner(&small("iva", ONE), "o65"));
        assert_eq!(
            apply(&store, "iva", &files, &base(65))
                .await
                .expect("same")
                .edits,
            0
        );
        let model = ItemId::Entry(files.entries.keys().next_back().expect("model").clone());
        let error = apply(&store, "iva", &declared(&small("iva", ONE)), &base(63)).await;
        let Err(OperatorError::Conflicts(conflicts)) = error else {
            panic!("{error:?}");
        };
        assert_eq!(conflicts[0].item, model);
    });
}
