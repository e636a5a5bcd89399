//! `wheellink-lab`: plays scenarios with several processes of the program and tells what did not hold.
#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use wheellink_lab::check::{check, Figures, Flaw};
use wheellink_lab::history::read;
use wheellink_lab::page;
use wheellink_lab::run::{run, Programs};
use wheellink_lab::scenario::Scenario;
use wheellink_lab::tamper::Tampered;

/// Plays scenarios of faults between several activators, and checks the histories that they leave.
///
/// Exit codes: 0 all held; 1 something did not hold; 2 the lab could not do what it was told (arguments, a scenario that
/// makes no sense, no program, a fleet that did not come up, a history that is not whole).
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario and checks its history.
    Run {
        /// A file, or the name of one of the lab's own.
        scenario: PathBuf,
        /// Where randomness begins, in place of the scenario's.
        #[arg(long)]
        seed: Option<u64>,
        /// The activator; else the one beside this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// An activator of an earlier time, for those that a scenario starts from it; else the same one.
        #[arg(long)]
        before: Option<PathBuf>,
        /// Where the history goes; else it is kept only if something did not hold.
        #[arg(long)]
        history: Option<PathBuf>,
    },
    /// Plays all of the lab's scenarios, one after another, a line each; then how many passed and how many failed.
    All {
        /// Only those whose names begin like this; else all.
        names: Vec<String>,
        /// The activator; else the one beside this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// An activator of an earlier time, for those that a scenario starts from it; else the same one.
        #[arg(long)]
        before: Option<PathBuf>,
        /// A page whose rows of these scenarios are replaced by what was seen now, or to which they are added.
        #[arg(long)]
        table: Option<PathBuf>,
        /// The folder of scenarios; else the lab's own.
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Checks a history.
    Check {
        /// The file.
        history: PathBuf,
    },
    /// Names the lab's scenarios.
    List,
}

/// What was found of a history, or why nothing can be said.
type Found = Result<(Vec<Flaw>, Figures), String>;

/// A scenario that was played, and what was found.
struct Played {
    scenario: Scenario,
    found: Found,
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn scenarios(folder: &Path) -> Result<Vec<PathBuf>, String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", folder.display());
    let entries = std::fs::read_dir(folder).map_err(wrong)?;
    let mut paths: Vec<_> = entries.map(|e| e.map(|e| e.path())).collect::<Result<_, _>>().map_err(wrong)?;
    paths.retain(|path| path.extension().is_some_and(|e| e == "toml"));
    paths.sort();
    Ok(paths)
}

fn tell(figures: &Figures) -> String {
    let served: Vec<_> = figures.served.iter().map(|(name, share)| format!("{name} {share:.3}")).collect();
    let mut text = format!(
        "{} calls, {} not sent; served {}; median {:.1} ms, 99th {:.1} ms",
        figures.sent,
        figures.shed,
        served.join(", "),
        figures.time_us.0 as f64 / 1e3,
        figures.time_us.1 as f64 / 1e3
    );
    if figures.versions > 0 {
        text += &format!("; {} versions, longest {} ms", figures.versions, figures.longest_us / 1_000);
    }
    if let Some(found) = figures.found {
        let (over, anew) = (figures.site_over_mean, figures.anew_per_s);
        text += &format!("; found {found:.3}, site over mean {over:.2}, most anew at a site {anew}/s");
    }
    let Tampered { spoilt, replayed, forged } = figures.tampered;
    if spoilt + replayed + forged > 0 {
        text += &format!("; {spoilt} spoilt, {replayed} replayed, {forged} made up");
    }
    text += &format!("; told {:.2} of what may be", figures.told);
    if figures.paced > 0.0 {
        text += &format!(", documents {:.2} of the pace", figures.paced);
    }
    text
}

fn play(path: &Path, seed: Option<u64>, with: &Programs, kept: Option<&Path>) -> Result<Played, String> {
    let mut path = path.to_path_buf();
    if !path.exists() {
        path = folder().join(path.with_extension("toml").file_name().unwrap_or_default());
    }
    let mut scenario = Scenario::load(&path)?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    let name = format!("wheellink-lab-{}-{}.jsonl", scenario.name, std::process::id());
    let into = kept.map_or_else(|| std::env::temp_dir().join(name), Path::to_path_buf);
    let found = run(&scenario, with, &into).and_then(|()| read(&into)).and_then(|lines| check(&lines));
    match &found {
        Ok((flaws, _)) if flaws.is_empty() && kept.is_none() => {
            let _ = std::fs::remove_file(&into);
        }
        _ => eprintln!("seed {}; the history is {}", scenario.seed, into.display()),
    }
    Ok(Played { scenario, found })
}

/// The exit code of what was found, once it is told.
fn told(found: Found) -> u8 {
    match found {
        Ok((flaws, figures)) => {
            println!("{}", tell(&figures));
            flaws.iter().for_each(|flaw| println!("{flaw}"));
            u8::from(!flaws.is_empty())
        }
        Err(said) => {
            eprintln!("wheellink-lab: {said}");
            2
        }
    }
}

/// The load of the machine over the last minute, where the system tells.
fn load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(f64::NAN)
}

fn all(names: &[String], with: &Programs, folder: &Path, table: Option<&Path>) -> Result<u8, String> {
    let (mut worst, mut passed, mut failed) = (0, 0, 0);
    for path in scenarios(folder)? {
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        if !names.is_empty() && !names.iter().any(|begin| name.starts_with(begin.as_str())) {
            continue;
        }
        let before = load();
        let played = play(&path, None, with, None);
        let found = played.as_ref().map_or_else(|said| Err(said.clone()), |played| played.found.clone());
        let (word, seen) = match found {
            Ok((flaws, figures)) if flaws.is_empty() => ("held", tell(&figures)),
            Ok((flaws, figures)) => {
                worst = worst.max(1);
                ("BROKEN", format!("{} flaws, first at {}; {}", flaws.len(), flaws[0], tell(&figures)))
            }
            Err(said) => {
                worst = 2;
                ("FAILED", said)
            }
        };
        println!("{word:7} {name}: {seen}");
        let counted = if word == "held" { &mut passed } else { &mut failed };
        *counted += 1;
        if let (Some(page), Ok(played)) = (table, &played) {
            let mixed = if with.before.is_some() { "this and before" } else { "this" };
            let programs = if played.scenario.is_mixed() { mixed } else { "this" };
            let load = format!("{before:.0} to {:.0}", load());
            let wanted = played.scenario.hold.wanted();
            let row = page::row([
                &name,
                programs,
                &played.scenario.seed.to_string(),
                &wanted,
                &format!("{word}: {seen}"),
                &load,
            ]);
            page::replace(page, &name, programs, &row)?;
        }
    }
    if passed + failed == 0 {
        return Err(format!("no scenario's name begins like {}", names.join(" or ")));
    }
    println!("{passed} passed, {failed} failed");
    Ok(worst)
}

fn main() -> ExitCode {
    let code = match Args::parse().command {
        Command::Run { scenario, seed, program, before, history } => {
            let with = Programs::find(program.as_deref(), before.as_deref());
            told(with.and_then(|with| play(&scenario, seed, &with, history.as_deref())?.found))
        }
        Command::All { names, program, before, table, folder: own } => {
            let with = Programs::find(program.as_deref(), before.as_deref());
            let own = own.unwrap_or_else(folder);
            with.and_then(|with| all(&names, &with, &own, table.as_deref()))
                .unwrap_or_else(|said| told(Err(said)))
        }
        Command::Check { history } => told(read(&history).and_then(|lines| check(&lines))),
        Command::List => match scenarios(&folder()) {
            Ok(paths) => {
                for path in paths {
                    match Scenario::load(&path) {
                        Ok(scenario) => println!("{:32} {}", scenario.name, scenario.about),
                        Err(said) => return ExitCode::from(told(Err(said))),
                    }
                }
                0
            }
            Err(said) => told(Err(said)),
        },
    };
    ExitCode::from(code)
}
