//! Cases of the second review: `stand CASE ROOT FOLDER` plays one and exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(114);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

/// How a case is played.
pub struct Play {
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    pub trouble: bool,
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(root), Some(folder), Some(record)) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        eprintln!("stand CASE ROOT FOLDER RECORD");
        exit(2);
    };
    let play = Play {
        root: root.into(),
        folder: folder.into(),
        trouble: std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
    };
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        deployment::end_all_processes();
        println!("the case could not run: it took too long");
        exit(2);
    });
    let record_path = PathBuf::from(record);
    let recorded = Arc::new(std::sync::Mutex::new(None::<Arc<record::Record>>));
    let noting = recorded.clone();
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        cases::play(&case, &play, &mut |record| *noting.lock().unwrap() = Some(record))
    }));
    let (text, code) = match outcome {
        Ok(Some(Verdict::Held)) => ("the rule held", 0),
        Ok(Some(Verdict::Broken)) => ("the rule was broken", 1),
        Ok(None) => ("there is no such case", 2),
        Err(_) => ("the case could not run", 2),
    };
    if let Some(record) = recorded.lock().unwrap().take() {
        record.note(text);
        std::fs::write(&record_path, record.text()).expect("the record is written");
    }
    println!("{text}");
    exit(code);
}
