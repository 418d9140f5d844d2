//! Tests of account statements.

mod operator_common;

use beechsaddle::operator::WorkspaceStatement;
use beechsaddle_core::accounting::{BillRecord, JournalSegment, OpenGrant};
use beechsaddle_core::names::{
    BudgetName, CallId, KeyOrigin, KeyText, RequestKey, RouterIncarnation, WorkspaceName,
};
use beechsaddle_core::objects::PlatformObject;

use operator_common::{MemoryStore, apply, base, block_on, declared, small};

fn bill(workspace: &str, number: u64, tokens: u64, replaces: Option<u64>) -> BillRecord {
    BillRecord {
        call: CallId {
            router: RouterIncarnation::new("entry-1", 7),
            number,
        },
        key: RequestKey {
            workspace: WorkspaceName::new(workspace),
            text: KeyText::new(format!("key-{number}")),
            origin: KeyOrigin::Caller,
        },
        budget: BudgetName::new("pekara-main"),
        tokens,
        replaces,
        provisional: replaces.is_none() && number == 1,
        contested: false,
        against: None,
    }
}

// A call is billed provisionally after its entry router died, and corrected when the caller
// retries. A checkpoint carries over another bill. The statement has one line for each call and
// none of another workspace.
#[test]
fn read_bills_has_one_line_for_each_call() {
    block_on(async {
        let store = MemoryStore::default();
        let files = declared(&small("iva", r#"{ id = "jan", tokens = 1000 }"#));
        apply(&store, "iva", &files, &base(0))
            .await
            .expect("applied");
        store.edit_account("pekara-main", |account| {
            account.settled = 40;
            account.bills = 1;
            let grant = OpenGrant {
                amount: 300,
                folded: 40,
                ..OpenGrant::default()
            };
            account.grants.insert(KeyText::new("entry-1@7.0"), grant);
        });
        let first = JournalSegment {
            bills: vec![bill("pekara", 1, 90, None), bill("pekara", 2, 40, None)],
            ..JournalSegment::default()
        };
        let second = JournalSegment {
            bills: vec![
                bill("pekara", 1, 55, Some(90)),
                bill("stranger", 3, 7, None),
            ],
            carried: vec![(1, bill("pekara", 2, 40, None))],
            ..JournalSegment::default()
        };
        store.put(
            "journal/entry-1@7.0/0000000001",
            PlatformObject::Segment(first),
        );
        store.put(
            "journal/entry-1@7.0/0000000002",
            PlatformObject::Segment(second),
        );
        let workspace = WorkspaceName::new("pekara");
        let statement = WorkspaceStatement::read(&store, &workspace, true)
            .await
            .expect("statement");
        let line = &statement.budgets[0];
        assert_eq!(
            (line.topped_up, line.settled, line.open, line.free),
            (1_000, 40, 260, 700)
        );
        let bills = statement.bills.expect("bills");
        let lines: Vec<(&str, u64, bool)> = bills
            .iter()
            .map(|bill| (bill.key.as_str(), bill.tokens, bill.provisional))
            .collect();
        assert_eq!(lines, [("key-1", 55, false), ("key-2", 40, false)]);
    });
}

#[test]
fn read_unknown_workspace_is_empty() {
    block_on(async {
        let store = MemoryStore::default();
        let workspace = WorkspaceName::new("nobody");
        let statement = WorkspaceStatement::read(&store, &workspace, false).await;
        assert!(statement.expect("statement").budgets.is_empty());
    });
}
