//! Requests and answers as a caller writes and reads them.

use {
    crate::platform::config::HOST,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
    },
};

/// Headers of a request for an engine.
pub const PROMPT: &str =
    "X-Model: m\r\nX-Token-Counts: 100,10\r\nX-Prompt-Prefix: a:50,b:30,c:20\r\n";

/// An answer.
#[derive(Clone, Debug)]
pub struct Response {
    pub body: String,
    /// Whether the answer ended as its head says.
    pub complete: bool,
    pub head: String,
    pub status: u16,
}

impl Response {
    /// Returns a header's value; names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// A request before it is written.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub attempt: &'a str,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Further headers, each with its line's end.
    pub extra: &'a str,
    pub key: &'a str,
    pub method: &'a str,
    pub path: &'a str,
}

impl Request<'_> {
    /// Returns the request's bytes.
    pub fn text(&self) -> String {
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
            Authorization: Token {}\r\nContent-Length: 2\r\n{}\r\n{{}}",
            self.method, self.path, self.attempt, self.deadline_ms, self.key, self.extra
        )
    }
}

/// Asks without a key, and returns `None` if there is no answer.
pub fn get(address: SocketAddr, path: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(address).ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    read(&mut stream)
}

/// Reads one answer, or `None` if the connection closed before its head was
/// whole.
pub fn read(stream: &mut impl Read) -> Option<Response> {
    let (status, head) = read_head(stream)?;
    let length = length(&head);
    let (body, complete) = match length {
        Some(length) => {
            let mut body = vec![0; length];
            let complete = stream.read_exact(&mut body).is_ok();
            (body, complete)
        }
        None => chunks(stream),
    };

    Some(Response {
        body: String::from_utf8_lossy(&body).into_owned(),
        complete,
        head,
        status,
    })
}

fn read_head(stream: &mut impl Read) -> Option<(u16, String)> {
    let mut bytes = Vec::new();
    let mut byte = [0];

    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }

    let head = String::from_utf8(bytes).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head))
}

fn length(head: &str) -> Option<usize> {
    let lower = head.to_ascii_lowercase();
    lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|length| length.trim().parse().ok())
}

/// Reads a chunked body and returns whether its end was read.
fn chunks(stream: &mut impl Read) -> (Vec<u8>, bool) {
    let mut body = Vec::new();

    loop {
        let Some(size) = chunk_size(stream) else {
            return (body, false);
        };
        let mut chunk = vec![0; size + 2];

        if stream.read_exact(&mut chunk).is_err() {
            return (body, false);
        }

        if size == 0 {
            return (body, true);
        }

        body.extend(&chunk[..size]);
    }
}

fn chunk_size(stream: &mut impl Read) -> Option<usize> {
    let mut line = Vec::new();
    let mut byte = [0];

    while !line.ends_with(b"\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => line.push(byte[0]),
            _ => return None,
        }
    }

    usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).ok()
}
