//! The bounded ring buffer of each direction of a connection.

use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};

/// A first-in, first-out byte buffer. Its storage grows on demand, up to `max_len` bytes.
pub struct Ring {
    buf: Box<[u8]>,
    head: usize,
    len: usize,
    max_len: usize,
}

/// Storage that the first use of a ring allocates.
const MIN_CAPACITY_BYTES: usize = 4096;
/// Storage above which a ring gives back what it does not need any more.
const LARGE_CAPACITY_BYTES: usize = 64 << 10;
/// Multiple of what is in a large ring above which it does.
const MAX_CAPACITY_MULTIPLE: usize = 4;
/// Maximum storage that a ring keeps when it becomes empty.
const MAX_EMPTY_CAPACITY_BYTES: usize = 16 << 10;

impl Ring {
    pub fn new(max_len: usize) -> Self {
        Self { buf: Box::default(), head: 0, len: 0, max_len }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of bytes that can still be appended.
    pub fn room(&self) -> usize {
        self.max_len - self.len
    }

    /// Appends all bytes; if they do not fit, appends none and returns false.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if bytes.len() > self.room() {
            return false;
        }
        self.reserve(bytes.len());
        let (a, b) = self.free();
        let (first, rest) = bytes.split_at(bytes.len().min(a.len()));
        a[..first.len()].copy_from_slice(first);
        b[..rest.len()].copy_from_slice(rest);
        self.len += bytes.len();
        true
    }

    /// Removes up to `n` bytes from the front.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.len == 0 { 0 } else { (self.head + n) % self.buf.len() };
        // Otherwise one long message would hold its storage until the connection closes, or until its last byte has gone.
        if self.len == 0 && self.buf.len() > MAX_EMPTY_CAPACITY_BYTES {
            self.buf = Box::default();
        } else if self.buf.len() > LARGE_CAPACITY_BYTES && self.len <= self.buf.len() / MAX_CAPACITY_MULTIPLE
        {
            self.resize(self.len.next_power_of_two());
        }
    }

    /// Copies `n` bytes from offset `at`; `None` if the ring holds fewer.
    pub fn copy(&self, at: usize, n: usize) -> Option<Vec<u8>> {
        if at + n > self.len {
            return None;
        }
        let (a, b) = self.filled();
        let first = a.get(at..).unwrap_or_default();
        let first = &first[..first.len().min(n)];
        let rest = &b[at.saturating_sub(a.len())..];
        Some([first, &rest[..n - first.len()]].concat())
    }

    /// Number of bytes at the front for which this holds.
    pub fn leading(&self, holds: impl Fn(&u8) -> bool) -> usize {
        let (a, b) = self.filled();
        a.iter().chain(b).take_while(|byte| holds(byte)).count()
    }

    /// Offset of the first line end (CR LF), if there is one.
    pub fn find_line_end(&self) -> Option<usize> {
        let (a, b) = self.filled();
        let (mut last, mut at) = (0, 0);
        for byte in a.iter().chain(b) {
            if last == b'\r' && *byte == b'\n' {
                return Some(at - 1);
            }
            (last, at) = (*byte, at + 1);
        }
        None
    }

    /// Reads once into the free space. The caller ensures that there is some, so `Ok(0)` is the end of the stream.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<usize> {
        self.reserve(MIN_CAPACITY_BYTES.min(self.room()));
        let (a, b) = self.free();
        let n = source.read_vectored(&mut [IoSliceMut::new(a), IoSliceMut::new(b)])?;
        self.len += n;
        Ok(n)
    }

    /// Writes once from the front and removes the bytes that were written.
    pub fn write_to(&mut self, sink: &mut impl Write) -> io::Result<usize> {
        let (a, b) = self.filled();
        let n = sink.write_vectored(&[IoSlice::new(a), IoSlice::new(b)])?;
        if n == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        self.consume(n);
        Ok(n)
    }

    fn filled(&self) -> (&[u8], &[u8]) {
        let end = self.head + self.len;
        if end <= self.buf.len() {
            (&self.buf[self.head..end], &[])
        } else {
            (&self.buf[self.head..], &self.buf[..end - self.buf.len()])
        }
    }

    fn free(&mut self) -> (&mut [u8], &mut [u8]) {
        let (size, end) = (self.buf.len(), self.head + self.len);
        if end >= size {
            (&mut self.buf[end - size..self.head], &mut [])
        } else {
            let (low, high) = self.buf.split_at_mut(end);
            (high, &mut low[..self.head])
        }
    }

    fn reserve(&mut self, more: usize) {
        let wanted = self.len + more;
        if wanted <= self.buf.len() {
            return;
        }
        self.resize(wanted.next_power_of_two());
    }

    /// Moves the bytes to storage of this size, within the bounds of storage.
    fn resize(&mut self, size: usize) {
        let size = size.max(MIN_CAPACITY_BYTES).min(self.max_len);
        let mut buf = vec![0; size].into_boxed_slice();
        let (a, b) = self.filled();
        buf[..a.len()].copy_from_slice(a);
        buf[a.len()..a.len() + b.len()].copy_from_slice(b);
        (self.buf, self.head) = (buf, 0);
    }
}

#[cfg(test)]
#[path = "ring/tests.rs"]
mod tests;
