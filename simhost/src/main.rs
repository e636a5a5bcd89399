//! Runs wheellink routers in the simulator: reads events as JSON lines of its protocol, marsh-74f8, from standard input,
//! passes them to the routers and writes the routers' actions to standard output. Makes no decisions itself.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use wire::{Instance, Line};

fn main() -> ExitCode {
    // A router's panic is reported to the simulator instead of on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wheellink-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<i64, Instance> = BTreeMap::new();
    // Time and number of the current batch.
    let mut batch: Option<(i64, i64)> = None;
    let mut reply = String::new();
    for (number, text) in input.lines().enumerate() {
        let at_line = |message: String| format!("line {}: {message}", number + 1);
        let text = text.map_err(|e| at_line(format!("cannot be read: {e}")))?;
        match (wire::decode(&text).map_err(at_line)?, batch) {
            (Line::Mark { now, n }, None) => {
                batch = Some((now, n));
                reply.clear();
            }
            (Line::Flush, Some((_, n))) => {
                wire::encode_yield(n, &mut reply);
                let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                sent.map_err(|e| format!("cannot write the reply: {e}"))?;
                batch = None;
            }
            (Line::Create { id, seed, options }, Some(_)) => {
                let instance = Instance::new(seed, options).map_err(|e| at_line(format!("CREATE: {e}")))?;
                instances.insert(id, instance);
            }
            (Line::Event { id, name, event }, Some((now, _))) => {
                let unknown = || at_line(format!("{name}: no instance {id}"));
                let instance = instances.get_mut(&id).ok_or_else(unknown)?;
                let mut actions = Vec::new();
                let result = catch_unwind(AssertUnwindSafe(|| instance.handle(now, event, &mut actions)));
                match result {
                    Ok(handled) => handled.map_err(|e| at_line(format!("{name}: {e}")))?,
                    Err(panic) => {
                        let text = panic.downcast_ref::<String>().cloned();
                        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
                        let text = text.unwrap_or_else(|| "the decision module panicked".into());
                        wire::encode_bail_out(id, &text, &mut reply);
                        instances.remove(&id);
                        continue;
                    }
                }
                actions.iter().for_each(|a| wire::encode(id, a, &mut reply));
            }
            (Line::Ignored { id, name }, Some(_)) => {
                instances.get(&id).ok_or_else(|| at_line(format!("{name}: no instance {id}")))?;
            }
            (Line::Destroy { id }, Some(_)) => {
                instances.remove(&id).ok_or_else(|| at_line(format!("DESTROY: no instance {id}")))?;
            }
            (Line::Mark { .. }, Some(_)) => return Err(at_line("MARK: the last batch has no FLUSH".into())),
            (_, None) => return Err(at_line("event outside a batch".into())),
        }
    }
    Ok(())
}
