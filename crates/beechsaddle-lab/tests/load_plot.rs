//! Tests of the latency chart of the load tool.

use std::time::Duration;

use beechsaddle_lab::load::{LoadOutcome, LoadTally, draw_chart};

fn outcome(samples: impl IntoIterator<Item = u64>) -> LoadOutcome {
    let mut tally = LoadTally::try_new().unwrap();
    for micros in samples {
        tally.whole.record(micros).unwrap();
    }
    LoadOutcome {
        sent: 0,
        elapsed: Duration::ZERO,
        tally,
    }
}

fn chart_of(outcome: &LoadOutcome, name: &str) -> String {
    let file = format!("beechsaddle-chart-{name}-{}.svg", std::process::id());
    let path = std::env::temp_dir().join(file);
    draw_chart(outcome, &path).unwrap();
    let chart = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    chart
}

#[test]
fn chart_of_some_answers() {
    let chart = chart_of(&outcome([900, 5_000, 70_000]), "some");
    assert!(chart.contains("to the whole answer"));
    assert!(!chart.contains("NaN"));
}

#[test]
fn chart_of_no_answers() {
    let chart = chart_of(&outcome([]), "none");
    assert!(chart.contains("quantile"));
    assert!(!chart.contains("NaN"));
}
