//! Cases of an independent review. `review-cases NAME FOLDER` plays one and writes `record.txt` there.
//! It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0`
//! in the environment the disruption is left out.

mod front;
mod path;
mod support;
mod tunnel_kill;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use support::{Record, Result};

/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(100);

/// What a case gets.
pub struct Stage {
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

async fn play(name: &str, stage: &Stage) -> Result<bool> {
    match name {
        "tunnel-kill" => tunnel_kill::play(stage).await,
        other => Err(format!("no case {other:?}").into()),
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, folder] = words.as_slice() else {
        eprintln!("usage: review-cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let stage = Stage {
        folder: std::env::temp_dir().join(format!("review-{name}-{}", std::process::id())),
        record: Record::new(Path::new(folder)),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = run(name, &stage);
    if let Err(error) = stage.record.write() {
        eprintln!("no record: {error}");
    }
    // Settings and logs of the routers; a failure leaves files in the temporary folder only.
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&stage.folder);
    }
    match outcome {
        Ok(true) => {
            println!("broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(name: &str, stage: &Stage) -> Result<bool> {
    std::fs::create_dir_all(&stage.folder)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match tokio::time::timeout(TIME_LIMIT, play(name, stage)).await {
            Ok(outcome) => outcome,
            Err(_) => Err("the case took too long".into()),
        }
    })
}
