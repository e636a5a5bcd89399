//! Hosts wheellink routers on the marsh-74f8 wire: decodes, calls, encodes. Decides nothing.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use wire::{Host, Line};

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    match run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("wheellink-simhost: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut hosts: BTreeMap<i64, Host> = BTreeMap::new();
    let mut batch: Option<(i64, i64)> = None;
    let mut reply = String::new();
    for (number, text) in input.lines().enumerate() {
        let at = |what: String| format!("line {}: {what}", number + 1);
        let text = text.map_err(|e| at(format!("cannot be read: {e}")))?;
        match (wire::decode(&text).map_err(at)?, batch) {
            (Line::Mark { now, n }, None) => {
                batch = Some((now, n));
                reply.clear();
            }
            (Line::Flush, Some((_, n))) => {
                wire::encode_yield(n, &mut reply);
                let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                sent.map_err(|e| format!("the reply cannot be written: {e}"))?;
                batch = None;
            }
            (Line::Create { instance, seed, options }, Some(_)) => {
                let host = Host::new(seed, options).map_err(|e| at(format!("CREATE: {e}")))?;
                hosts.insert(instance, host);
            }
            (Line::Event { instance, name, event }, Some((now, _))) => {
                let unknown = || at(format!("{name}: no instance {instance}"));
                let host = hosts.get_mut(&instance).ok_or_else(unknown)?;
                let mut actions = Vec::new();
                let handled = catch_unwind(AssertUnwindSafe(|| host.handle(now, event, &mut actions)));
                match handled {
                    Ok(decoded) => decoded.map_err(|e| at(format!("{name}: {e}")))?,
                    Err(panic) => {
                        let told = panic.downcast_ref::<String>().cloned();
                        let told = told.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
                        let text = told.unwrap_or_else(|| "the decision module panicked".into());
                        wire::encode_bail_out(instance, &text, &mut reply);
                        hosts.remove(&instance);
                        continue;
                    }
                }
                actions.iter().for_each(|a| wire::encode(instance, a, &mut reply));
            }
            (Line::Ignored { instance, name }, Some(_)) => {
                hosts.get(&instance).ok_or_else(|| at(format!("{name}: no instance {instance}")))?;
            }
            (Line::Destroy { instance }, Some(_)) => {
                hosts.remove(&instance).ok_or_else(|| at(format!("DESTROY: no instance {instance}")))?;
            }
            (Line::Mark { .. }, Some(_)) => return Err(at("MARK: the last batch has no FLUSH".into())),
            (_, None) => return Err(at("an event outside a batch".into())),
        }
    }
    Ok(())
}
