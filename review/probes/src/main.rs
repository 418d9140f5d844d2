//! The scripts' stand-ins and checks: `review-probes CASE ROOT FOLDER RECORD`.

mod drain;
mod fleet;
mod record;
mod store;

use std::path::PathBuf;
use std::process::exit;

use record::Record;

/// What a run is given.
pub struct Run {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// How a run ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

#[tokio::main]
async fn main() {
    let words: Vec<_> = std::env::args().collect();
    let [_, case, root, folder, record] = words.as_slice() else {
        eprintln!("usage: review-probes CASE ROOT FOLDER RECORD");
        exit(2);
    };
    let run = Run {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        record: Record::create(record),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "watch-cut" => drain::play(&run, drain::Trouble::WatchesCut).await,
        "foreign-entry" => drain::play(&run, drain::Trouble::ForeignEntry).await,
        "foreign-addresses" => drain::play_addresses(&run).await,
        _ => Verdict::CouldNotRun,
    };
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    });
}
