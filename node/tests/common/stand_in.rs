//! A stand-in host whose answers a test words by itself.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::spawn;

/// What a host says to a call's line and body: further fields of the answer, each with a comma before it.
pub type AnswerFields = dyn Fn(&str, &str) -> String + Send + Sync;

/// Listens, and answers each call as `says` has it, from a thread for each connection. It takes orders and is alive.
pub fn stand_in(says: Arc<AnswerFields>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let says = says.clone();
            spawn(move || attend(stream, &*says));
        }
    });
    address
}

fn attend(stream: TcpStream, says: &AnswerFields) {
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
                let said = says(line.trim_end(), &body);
                format!("{} 200 tell=warm{said} {}\r\n{body}\r\n", words[1], body.len())
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
