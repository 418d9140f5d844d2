//! The `model_step` module provides the steps of random sessions.

use quickcheck::{Arbitrary, Gen};

/// One step; indexes are taken modulo the number of existing items.
#[derive(Clone, Debug)]
pub enum Step {
    Call {
        router: u8,
        budget: u8,
        key: u8,
        bound: u8,
    },
    Serve {
        call: u8,
        tokens: u8,
    },
    Settle {
        call: u8,
    },
    Deliver {
        delivery: u8,
        count: u8,
    },
    DropMessage {
        delivery: u8,
    },
    DuplicateMessage {
        delivery: u8,
    },
    LoseAnswer {
        delivery: u8,
    },
    LoseCall {
        delivery: u8,
    },
    DelayCall {
        delivery: u8,
    },
    Advance {
        ticks: u8,
    },
    Run {
        ticks: u8,
    },
    Crash {
        router: u8,
    },
    Freeze {
        router: u8,
    },
    Thaw {
        router: u8,
    },
    Down {
        router: u8,
    },
    Gone {
        router: u8,
    },
    Start,
    TopUp {
        budget: u8,
        id: u8,
    },
    Platform {
        is_down: bool,
    },
    Drain {
        router: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(source), u8::arbitrary(source));
        let (c, d) = (u8::arbitrary(source), u8::arbitrary(source));
        match u8::arbitrary(source) % 64 {
            0..=11 => Step::Call {
                router: a,
                budget: b,
                key: c,
                bound: d,
            },
            12..=17 => Step::Serve { call: a, tokens: b },
            18..=23 => Step::Settle { call: a },
            24..=37 => Step::Deliver {
                delivery: a,
                count: b % 16,
            },
            38 => Step::DropMessage { delivery: a },
            39 => Step::DuplicateMessage { delivery: a },
            40 | 41 => Step::LoseAnswer { delivery: a },
            42 => Step::LoseCall { delivery: a },
            43 => Step::DelayCall { delivery: a },
            44..=47 => Step::Advance { ticks: a % 30 },
            48..=53 => Step::Run { ticks: a % 40 },
            54 => Step::Crash { router: a },
            55 => Step::Freeze { router: a },
            56 | 57 => Step::Thaw { router: a },
            58 => Step::Down { router: a },
            59 => Step::Gone { router: a },
            60 => Step::Start,
            61 => Step::TopUp {
                budget: a,
                id: b % 4,
            },
            62 => Step::Platform {
                is_down: a % 3 == 0,
            },
            _ => Step::Drain { router: a },
        }
    }
}
