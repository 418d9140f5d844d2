//! Tests of the choice between targets that announce limits.

mod choice_support;

use choice_support::{NAMES, START, choose, chosen, roster, stats};

/// A target with a limit is short of capacity, and must not stay the affinity target of parts that
/// many requests share.
#[test]
fn limited_target_has_no_affinity() {
    for shared in ["a", "b", "c", "d"] {
        let mut roster = roster();
        let affinity = chosen(&roster, Some(shared), None);
        stats(&mut roster, &affinity)
            .limit
            .record(START, Some(1.0), START);
        let choice = choose(&roster, Some(shared), None).expect("a choice");
        assert_ne!(choice.target.as_str(), affinity);
        assert!(choice.is_affinity_target);
    }
    let mut roster = roster();
    for name in NAMES {
        stats(&mut roster, name)
            .limit
            .record(START, Some(1.0), START);
    }
    let choice = choose(&roster, Some("a"), None).expect("a choice");
    assert!(
        choice.is_affinity_target,
        "with limits on all targets, one of them has affinity"
    );
}

/// A target that is paused for its limit is not chosen, even if no other is left: it would receive
/// more than its limit.
#[test]
fn paused_target_is_never_chosen() {
    let mut roster = roster();
    for name in NAMES {
        let stats = stats(&mut roster, name);
        stats.limit.record(START, Some(1.0), START);
        stats.limit.record_refused(START, 500);
        stats.eject(START);
    }
    assert_eq!(choose(&roster, Some("a"), None), None);
    assert_eq!(choose(&roster, None, Some("print")), None);
}
