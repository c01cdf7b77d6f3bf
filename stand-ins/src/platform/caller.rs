//! HTTP requests and responses of callers.

use {
    crate::platform::config::HOST,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
    },
};

/// Additional headers of a request for an engine, each with its line ending.
pub const ENGINE_HEADERS: &str =
    "X-Model: m\r\nX-Token-Counts: 100,10\r\nX-Prompt-Prefix: a:50,b:30,c:20\r\n";

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub body: String,
    /// Whether the body was received in full.
    pub complete: bool,
    pub head: String,
    pub status: u16,
}

impl Response {
    /// Returns the value of a header. The name's case is ignored.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// A request with a small JSON body.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub attempt: &'a str,
    /// Time that the caller waits for the response, in milliseconds.
    pub deadline_ms: u64,
    /// Additional headers, each with its line ending.
    pub extra: &'a str,
    pub key: &'a str,
    pub method: &'a str,
    pub path: &'a str,
}

impl Request<'_> {
    /// Returns the request as HTTP/1.1 text.
    pub fn text(&self) -> String {
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
            Authorization: Token {}\r\nContent-Length: 2\r\n{}\r\n{{}}",
            self.method, self.path, self.attempt, self.deadline_ms, self.key, self.extra
        )
    }
}

/// Sends a GET request without a key. Returns `None` if there is no response.
pub fn get(address: SocketAddr, path: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(address).ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    read(&mut stream)
}

/// Reads one response. Returns `None` if the connection closes within the
/// head.
pub fn read(stream: &mut impl Read) -> Option<Response> {
    let (status, head) = read_head(stream)?;
    let length = length(&head);
    let (body, complete) = match length {
        Some(length) => {
            let mut body = vec![0; length];
            let complete = stream.read_exact(&mut body).is_ok();
            (body, complete)
        }
        None => read_chunks(stream),
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
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
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

/// Reads a chunked body. Returns the data and whether the last chunk was read.
fn read_chunks(stream: &mut impl Read) -> (Vec<u8>, bool) {
    let mut body = Vec::new();

    loop {
        let Some(size) = read_chunk_size(stream) else {
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

fn read_chunk_size(stream: &mut impl Read) -> Option<usize> {
    let mut line = Vec::new();
    let mut byte = [0];

    while !line.ends_with(b"\r\n") {
        stream.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }

    usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).ok()
}
