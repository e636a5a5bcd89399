//! A stand-in host that adds fields chosen by the test to its answers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::spawn;

/// From the line and the body of a call, makes the additional fields of its answer, each preceded by a comma.
pub type AnswerFields = dyn Fn(&str, &str) -> String + Send + Sync;

/// Starts a host that answers each call with the fields that `fields` makes, on a thread for each connection. It
/// confirms orders and answers probes.
pub fn stand_in(fields: Arc<AnswerFields>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let fields = fields.clone();
            spawn(move || serve(stream, &*fields));
        }
    });
    address
}

fn serve(stream: TcpStream, fields: &AnswerFields) {
    let (mut lines, mut out) = (BufReader::new(stream.try_clone().unwrap()), stream);
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let answer = match words[0] {
            "FN" => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                lines.read_exact(&mut body).unwrap();
                body.truncate(body.len() - 2);
                let body = String::from_utf8(body).unwrap();
                let more = fields(line.trim_end(), &body);
                format!("{} 200 tell=warm{more} {}\r\n{body}\r\n", words[1], body.len())
            }
            "SPAWN" => format!("{} 200 copies=1 0\r\n\r\n", words[1]),
            "HELO" => format!("{} alive - 0\r\n\r\n", words[1]),
            _ => continue,
        };
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
