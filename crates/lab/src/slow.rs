//! Hundreds of clients at once that write slowly, stop within a request, or read their answers slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};

use crate::bus::{request_frame, whole_call_frame};
use crate::http::call;
use crate::ms;

/// Receive buffer of clients that read slowly.
const SMALL_BUFFER_BYTES: usize = 4 << 10;
/// Bytes that a slow client writes or reads at one go.
const PART_BYTES: usize = 512;
/// Calls that a client with slow reading sends at one go on the platform front, as many as may be open.
const OPEN_CALLS: u32 = 32;
/// Length of a large body.
const LARGE_BODY_BYTES: usize = 16_000;

/// How clients are slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// They stop half way through a large request.
    Stop,
    /// They write a large request in small parts.
    Write,
    /// They stop within a request of very many short fields.
    Fields,
    /// They read long answers in small parts.
    Read,
    /// They let long answers fill all buffers, then read all but the last part of them and send more calls.
    ReadMost,
}

/// Clients that are slow until this is dropped.
pub struct SlowClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SlowClients {
    /// Starts so many clients of the platform front, or of the invoke front.
    pub fn start(address: SocketAddr, platform: bool, manner: Manner, clients: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let one = |number| {
            let stop = stop.clone();
            spawn(move || {
                while !stop.load(Relaxed) {
                    // A connection that was ended is replaced.
                    let _ = be_slow(address, (platform, manner), number, &stop);
                    sleep(ms(20));
                }
            })
        };
        let threads = (0..clients).map(one).collect();
        Self { stop, threads }
    }
}

impl Drop for SlowClients {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
    socket.connect(&address.into())?;
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(ms(50)))?;
    stream.set_write_timeout(Some(ms(200)))?;
    Ok(stream)
}

/// One connection of a slow client, until it ends.
fn be_slow(
    address: SocketAddr,
    (platform, manner): (bool, Manner),
    number: u32,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let mut stream = connect(address)?;
    let goes_on = || !stop.load(Relaxed);
    match manner {
        Manner::Stop | Manner::Write => {
            let request = large_call(platform, number);
            let (now, later) = request.split_at(if manner == Manner::Stop { request.len() / 2 } else { 0 });
            stream.write_all(now)?;
            for part in later.chunks(PART_BYTES) {
                if !goes_on() {
                    break;
                }
                if manner == Manner::Write {
                    stream.write_all(part)?;
                }
                read_part(&mut stream)?;
            }
        }
        Manner::Fields => {
            let request = many_fields(platform, number);
            stream.write_all(&request[..request.len() - 1])?;
            while goes_on() {
                read_part(&mut stream)?;
            }
        }
        Manner::Read => {
            stream.write_all(&calls(platform, number, 1))?;
            while goes_on() {
                read_part(&mut stream)?;
                sleep(ms(20));
            }
        }
        Manner::ReadMost => {
            let mut first = 1;
            while goes_on() {
                stream.write_all(&calls(platform, number, first))?;
                first += OPEN_CALLS;
                sleep(ms(300));
                // All but the last part: 32 answers of 200,000 bytes.
                let mut left = 32 * 200_000 - PART_BYTES;
                let mut buffer = vec![0; 64 << 10];
                while left > 0 && goes_on() {
                    match stream.read(&mut buffer) {
                        Ok(0) => return Ok(()),
                        Ok(n) => left = left.saturating_sub(n),
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                        Err(e) => return Err(e),
                    }
                }
            }
        }
    }
    Ok(())
}

/// Reads a part, if there is one; an error at the end of the connection.
fn read_part(stream: &mut TcpStream) -> std::io::Result<()> {
    match stream.read(&mut [0; PART_BYTES]) {
        Ok(0) => Err(std::io::ErrorKind::UnexpectedEof.into()),
        Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => Err(e),
        _ => Ok(()),
    }
}

fn id(number: u32, n: u32) -> String {
    format!("{:016x}", (u64::from(number + 1) << 32) | u64::from(n))
}

fn large_call(platform: bool, number: u32) -> Vec<u8> {
    let body = vec![b'x'; LARGE_BODY_BYTES];
    if platform {
        whole_call_frame(1, [&id(number, 1), "check-score", "k", "7f3a9c21e0b4d655"], 3000, &body)
    } else {
        call("7f3a9c21e0b4d655", "check-score", &[], &"x".repeat(LARGE_BODY_BYTES)).into_bytes()
    }
}

fn many_fields(platform: bool, number: u32) -> Vec<u8> {
    if platform {
        let names: Vec<String> = (0..255).map(|n| format!("{n:02x}")).collect();
        let fields: Vec<_> = names.iter().map(|name| (name.as_str(), "")).collect();
        request_frame(1, &fields, &[b'x'; LARGE_BODY_BYTES])
    } else {
        let headers: Vec<String> = (0..60).map(|n| format!("h{n}: {number}")).collect();
        let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
        call("7f3a9c21e0b4d655", "check-score", &headers, &"x".repeat(LARGE_BODY_BYTES)).into_bytes()
    }
}

fn calls(platform: bool, number: u32, first: u32) -> Vec<u8> {
    let one = |n: u32| {
        if platform {
            whole_call_frame(n, [&id(number, n), "check-score", "k", "7f3a9c21e0b4d655"], 3000, b"")
        } else {
            call("7f3a9c21e0b4d655", "check-score", &[], "").into_bytes()
        }
    };
    (first..first + OPEN_CALLS).flat_map(one).collect()
}
