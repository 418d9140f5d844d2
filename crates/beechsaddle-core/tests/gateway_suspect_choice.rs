//! Tests of the choice of a target for requests that may crash it.

mod choice_support;

use beechsaddle_core::gateway::AttemptLoad;
use choice_support::{NAMES, chosen, roster, stats};

/// A request that may crash its target is sent to the least loaded one, where a crash ends the
/// fewest other requests.
#[test]
fn suspect_goes_to_least_loaded_target() {
    let mut roster = roster();
    for name in ["e1", "e2", "e4"] {
        stats(&mut roster, name).start(AttemptLoad::default());
    }
    for shared in ["a", "b", "c", "d"] {
        assert_eq!(chosen(&roster, Some(shared), Some("print")), "e3");
    }
}

/// Two suspects of one crash are sent to different targets: another crash of a target that runs
/// both would not identify the cause either.
#[test]
fn suspects_of_one_crash_go_to_different_targets() {
    let roster = roster();
    let prints = (0..40).map(|number| format!("print-{number}"));
    let mut targets: Vec<_> = prints
        .map(|print| chosen(&roster, Some("a"), Some(&print)))
        .collect();
    targets.sort();
    targets.dedup();
    assert_eq!(targets, NAMES);
}

/// Other requests avoid a target that runs a suspect, as it may crash at any time.
#[test]
fn other_requests_avoid_target_with_suspect() {
    for shared in ["a", "b", "c", "d"] {
        let mut roster = roster();
        let affinity = chosen(&roster, Some(shared), None);
        stats(&mut roster, &affinity).suspects += 1;
        assert_ne!(chosen(&roster, Some(shared), None), affinity);
    }
}
