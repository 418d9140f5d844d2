//! Tests of the choice between targets that name limits.

mod choice_support;

use choice_support::{NAMES, START, choose, chosen, roster, stats};

/// Guards against a target in need that stays the place of what many requests share.
#[test]
fn limited_target_is_the_place_of_nothing() {
    for shared in ["a", "b", "c", "d"] {
        let mut roster = roster();
        let home = chosen(&roster, Some(shared), None);
        stats(&mut roster, &home)
            .limit
            .note(START, Some(1.0), START);
        let choice = choose(&roster, Some(shared), None).expect("a choice");
        assert_ne!(choice.target.as_str(), home);
        assert!(choice.is_home);
    }
    let mut roster = roster();
    for name in NAMES {
        stats(&mut roster, name).limit.note(START, Some(1.0), START);
    }
    let choice = choose(&roster, Some("a"), None).expect("a choice");
    assert!(
        choice.is_home,
        "where all have limits one is the place again"
    );
}

/// Guards against a target that gets more than it takes as no other is left.
#[test]
fn paused_target_is_never_chosen() {
    let mut roster = roster();
    for name in NAMES {
        let stats = stats(&mut roster, name);
        stats.limit.note(START, Some(1.0), START);
        stats.limit.note_refused(START, 500);
        stats.eject(START);
    }
    assert_eq!(choose(&roster, Some("a"), None), None);
    assert_eq!(choose(&roster, None, Some("print")), None);
}
