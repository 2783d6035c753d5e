//! Plays the scripts of the review: `world CASE FOLDER`, from the repository's root. It writes
//! `FOLDER/record.txt` and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//! With `TROUBLE=0` it plays the case without the disruption.

mod cases;
mod http;
mod json;
mod nodes;
mod record;
mod runner;
mod site;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// A script may run for 120 s.
const LONGEST: Duration = Duration::from_secs(115);

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: world CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let site = match site::Site::start(&PathBuf::from(folder)) {
        Ok(site) => site,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            exit(2);
        }
    };
    let late = site.processes();
    thread::spawn(move || {
        thread::sleep(LONGEST);
        late.lock().expect("the processes").clear();
        eprintln!("the case couldn't run: it took too long");
        exit(2);
    });
    let played = match case.as_str() {
        "ends" => cases::ends(&site, trouble),
        "large" => cases::large(&site, trouble),
        "repeats" => cases::repeats(&site, trouble),
        other => Err(format!("no case {other}")),
    };
    let broken = site.world.broken();
    let code = match played {
        Err(error) => {
            site.world.record.line(&format!("couldn't run: {error}"));
            eprintln!("the case couldn't run: {error}");
            2
        }
        Ok(()) if broken.is_empty() => 0,
        Ok(()) => 1,
    };
    for text in &broken {
        site.world.record.line(text);
        println!("{text}");
    }
    let verdict = ["the rule held", "the rule was broken", "the case couldn't run"][code as usize];
    site.world.record.line(&format!("{verdict}; {} runs began", site.world.starts()));
    println!("{verdict}");
    site.end();
    exit(code);
}
