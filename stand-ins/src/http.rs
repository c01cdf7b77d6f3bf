//! HTTP/1.1 messages.
//!
//! The stand-ins do not use an HTTP library, because faults need control over
//! single bytes: rouille buffers streamed bodies in chunks of 8 KB and cannot
//! close a connection without a response.

use {
    serde::{Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io::{self, BufRead, ErrorKind, Read, Write},
    },
};

/// Largest accepted body. Larger bodies get a 413 response.
pub const BODY_LIMIT_BYTES: usize = 1 << 20;

/// A complete request.
#[derive(Debug)]
pub struct Request {
    pub body: Vec<u8>,
    /// Whether the body exceeded the limit and was discarded.
    pub oversized: bool,
    pub headers: BTreeMap<String, String>,
    pub method: String,
    /// Percent-decoded path without the query.
    pub path: String,
    pub query: BTreeMap<String, String>,
}

impl Request {
    /// Reads a request. Returns `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks or the request is malformed.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let Some(request_line) = read_line(reader)? else {
            return Ok(None);
        };

        let mut parts = request_line.split(' ');
        let (Some(method), Some(target)) = (parts.next(), parts.next()) else {
            return Err(ErrorKind::InvalidData.into());
        };

        let headers = read_headers(reader)?;
        let length = match headers.get("content-length") {
            Some(text) => text.parse().map_err(|_| ErrorKind::InvalidData)?,
            None => 0,
        };
        let oversized = length > BODY_LIMIT_BYTES;
        let mut body = Vec::new();

        if oversized {
            io::copy(&mut reader.take(length as u64), &mut io::sink())?;
        } else {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }

        let (path, query) = target.split_once('?').unwrap_or((target, ""));

        Ok(Some(Self {
            body,
            oversized,
            headers,
            method: method.into(),
            path: percent_decode(path),
            query: query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(key, value)| (percent_decode(key), percent_decode(value)))
                .collect(),
        }))
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the reply to send when the body is too large or cannot be
    /// deserialized.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        if self.oversized {
            return Err(Reply::problem(413, "the body exceeds 1 MB"));
        }

        serde_json::from_slice(&self.body).map_err(|error| Reply::problem(400, &error.to_string()))
    }

    /// Returns a number from the query, or `default` if the parameter is absent
    /// or not a number.
    pub fn number(&self, key: &str, default: u64) -> u64 {
        self.query
            .get(key)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    }

    /// Returns a text from the query, or an empty text if the parameter is
    /// absent.
    pub fn text(&self, key: &str) -> &str {
        self.query.get(key).map_or("", String::as_str)
    }
}

/// Whether the connection stays open for another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flow {
    Close,
    Keep,
}

/// Writes a streamed body.
pub type Streamer = Box<dyn FnOnce(&mut Body) -> io::Result<Flow>>;

/// Writes a complete response, including its head.
pub type Writer = Box<dyn FnOnce(&mut dyn Write) -> io::Result<Flow>>;

/// A handler's reply to a request.
pub enum Reply {
    /// The connection is closed without a response.
    Close,
    Json {
        status: u16,
        value: Value,
    },
    /// The same response is sent twice.
    Duplicated(Value),
    Stream(Streamer),
    /// A reply with one more header.
    Marked {
        header: String,
        reply: Box<Reply>,
    },
    /// The connection is closed after `at` bytes of the body.
    Truncated {
        at: usize,
        value: Value,
    },
    /// The handler writes the response itself.
    Written(Writer),
}

impl Reply {
    /// Creates a reply with status 200 and a JSON body.
    ///
    /// # Panics
    ///
    /// Panics when the value has no JSON form.
    pub fn ok(value: impl Serialize) -> Self {
        Self::status(200, value)
    }

    /// Creates a reply with a JSON body.
    ///
    /// # Panics
    ///
    /// Panics when the value has no JSON form.
    pub fn status(status: u16, value: impl Serialize) -> Self {
        Self::Json {
            status,
            value: serde_json::to_value(value).expect("the value can be serialized to JSON"),
        }
    }

    /// Creates a reply whose body explains an error.
    pub fn problem(status: u16, detail: &str) -> Self {
        Self::status(status, json!({ "detail": detail }))
    }

    /// Writes the response.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks.
    pub fn write(self, writer: &mut dyn Write) -> io::Result<Flow> {
        match self {
            Self::Close => Ok(Flow::Close),
            Self::Json { status, value } => write_json(writer, status, &value),
            Self::Duplicated(value) => {
                write_json(writer, 200, &value)?;
                write_json(writer, 200, &value)
            }
            Self::Stream(streamer) => {
                writer.write_all(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\
                    Transfer-Encoding: chunked\r\n\r\n",
                )?;
                streamer(&mut Body(writer))
            }
            Self::Marked { header, reply } => reply.write(&mut Marker {
                header: Some(header),
                writer,
            }),
            Self::Truncated { at, value } => {
                let body = value.to_string();
                write_head(writer, 200, body.len())?;
                writer.write_all(&body.as_bytes()[..at.min(body.len() - 1)])?;
                writer.flush()?;
                Ok(Flow::Close)
            }
            Self::Written(write) => {
                let flow = write(writer)?;
                writer.flush()?;
                Ok(flow)
            }
        }
    }
}

/// Inserts a header after the status line.
struct Marker<'a> {
    /// `None` once it has been inserted.
    header: Option<String>,
    writer: &'a mut dyn Write,
}

impl Write for Marker<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let line_end = bytes.iter().position(|byte| *byte == b'\n');

        match (line_end, self.header.take()) {
            (Some(end), Some(header)) => {
                self.writer.write_all(&bytes[..=end])?;
                write!(self.writer, "{header}\r\n")?;
                Ok(end + 1)
            }
            (_, header) => {
                self.header = header;
                self.writer.write(bytes)
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}

/// A streamed body of JSON lines. Each line is sent immediately as one chunk.
pub struct Body<'a>(&'a mut dyn Write);

impl Body<'_> {
    /// Sends one line.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks.
    pub fn line(&mut self, value: &Value) -> io::Result<()> {
        let text = format!("{value}\n");
        write!(self.0, "{:x}\r\n{text}\r\n", text.len())?;
        self.0.flush()
    }

    /// Writes the last chunk, which completes the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks.
    pub fn end(&mut self) -> io::Result<Flow> {
        self.0.write_all(b"0\r\n\r\n")?;
        self.0.flush()?;
        Ok(Flow::Keep)
    }
}

fn write_json(writer: &mut dyn Write, status: u16, value: &Value) -> io::Result<Flow> {
    let body = value.to_string();
    write_head(writer, status, body.len())?;
    writer.write_all(body.as_bytes())?;
    writer.flush()?;
    Ok(Flow::Keep)
}

fn write_head(writer: &mut dyn Write, status: u16, length: usize) -> io::Result<()> {
    write!(
        writer,
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
        Content-Length: {length}\r\n\r\n",
    )
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = String::new();

    if reader.read_line(&mut text)? == 0 {
        return Ok(None);
    }

    Ok(Some(text.trim_end().into()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();

    while let Some(text) = read_line(reader)? {
        if text.is_empty() {
            return Ok(headers);
        }

        if let Some((name, value)) = text.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().into());
        }
    }

    Err(ErrorKind::UnexpectedEof.into())
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut remaining = text.as_bytes();

    while let Some((&first, tail)) = remaining.split_first() {
        let escaped = (first == b'%')
            .then(|| tail.get(..2))
            .flatten()
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());

        match escaped {
            Some(byte) => {
                bytes.push(byte);
                remaining = &tail[2..];
            }
            None => {
                bytes.push(first);
                remaining = tail;
            }
        }
    }

    String::from_utf8_lossy(&bytes).into_owned()
}
