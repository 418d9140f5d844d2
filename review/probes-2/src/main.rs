//! `review-probes-2 CASE FOLDER`: plays a case of the second review and writes `FOLDER/record.txt`. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

mod fleet;
mod idle_callers;
mod killed_replica;
mod left_callers;
mod long_ids;
mod prompt_parts;
mod replica;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use fleet::Record;

pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

#[tokio::main]
async fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = words.as_slice() else {
        eprintln!("usage: review-probes-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    if case == "replica" {
        replica::serve(folder).await;
        return ExitCode::SUCCESS;
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let record = Arc::new(Record::new(&folder));
    let temporary = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    record.say(format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "long-ids" => long_ids::play(&record, &temporary, trouble).await,
        "prompt-parts" => prompt_parts::play(&record, &temporary, trouble).await,
        "idle-callers" => idle_callers::play(&record, &temporary, trouble).await,
        "left-callers" => left_callers::play(&record, &temporary, trouble).await,
        "killed-replica" => killed_replica::play(&record, &temporary, trouble).await,
        _ => Verdict::CouldNotRun,
    };
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("THE RULE WAS BROKEN");
            1
        }
        Verdict::CouldNotRun => {
            record.say("the case could not run");
            2
        }
    };
    record.write();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("{}", temporary.display());
    }
    ExitCode::from(code)
}
