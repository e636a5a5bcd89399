//! The tests of the review's cases, and their stand-ins: `review-case-2 CASE FOLDER` plays a case and writes
//! FOLDER/record.txt; `review-case-2 host ...` is a script host.

mod cases;
mod host;
mod resolver;
mod rig;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Longest time of a case.
const MOST: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["host", port, work, load, how] => {
            host::run(port.parse().expect("a port"), work.parse().expect("a time"), load.parse().ok(), how)
        }
        [case, folder] => play(case, Path::new(folder)),
        _ => {
            eprintln!("CASE FOLDER");
            exit(2)
        }
    }
}

fn play(case: &str, folder: &Path) -> ! {
    let record = rig::Record::new(&folder.join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {case}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let temporary = temporary(case);
    let (late, left) = (record.clone(), temporary.clone());
    std::thread::spawn(move || {
        std::thread::sleep(MOST);
        late.line("could not run: it took too long");
        // Hosts end with this process.
        for pid in rig::STARTED.lock().unwrap().iter() {
            let _ = std::process::Command::new("kill").args(["-9", &pid.to_string()]).status();
        }
        let _ = std::fs::remove_dir_all(&left);
        exit(2)
    });
    let result = rig::Rig::new(record.clone(), temporary).and_then(|rig| cases::play(case, rig, trouble));
    let code = match result {
        Ok(None) => {
            record.line("held");
            0
        }
        Ok(Some(flaw)) => {
            record.line(format!("broken: {flaw}"));
            1
        }
        Err(problem) => {
            record.line(format!("could not run: {problem}"));
            2
        }
    };
    exit(code)
}

fn temporary(case: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary folder");
    path
}
