//! The head of an HTTP/1 request: its request line and headers.

use {
    crate::transport::server::Fault,
    std::io::{self, BufRead, Read},
    ureq::http::{HeaderName, HeaderValue, Method, Uri},
};

/// The head of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    pub headers: Vec<(String, String)>,
    /// Whether the connection may carry another request afterwards.
    pub keep: bool,
    pub method: String,
    /// Whether the caller knows HTTP/1.1, and with it chunks.
    pub modern: bool,
    pub target: String,
}

impl Head {
    /// Reads a head of at most `limit` bytes. Returns `None` at the end of the
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns the fault that the head has.
    pub fn read(reader: &mut impl BufRead, limit: usize) -> Result<Option<Self>, Fault> {
        let mut left = limit;
        let Some(line) = line(reader, &mut left, limit)? else {
            return Ok(None);
        };
        let mut head = request_line(&line).ok_or_else(|| invalid("the request line"))?;

        loop {
            match line_of(reader, &mut left, limit)?.as_str() {
                "" => break,
                line => {
                    let header = header(line).ok_or_else(|| invalid("a header"))?;
                    head.headers.push(header);
                }
            }
        }

        let connection = head.header("connection").unwrap_or("").to_ascii_lowercase();
        head.keep = head.modern && !connection.contains("close");
        Ok(Some(head))
    }

    /// Returns the length of the body.
    ///
    /// # Errors
    ///
    /// Returns a fault if the length is not given exactly once as a number.
    pub fn body_bytes(&self) -> Result<u64, Fault> {
        if self.header("transfer-encoding").is_some() {
            return Err(invalid("transfer-encoding, expected content-length,"));
        }

        let mut lengths = self
            .headers
            .iter()
            .filter(|(name, _)| name == "content-length")
            .map(|(_, value)| value);

        match (lengths.next(), lengths.next()) {
            (None, _) => Ok(0),
            (Some(length), None) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
                length.parse().map_err(|_| invalid("content-length"))
            }
            _ => Err(invalid("content-length")),
        }
    }

    /// Returns the first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

fn invalid(what: &str) -> Fault {
    Fault::Invalid {
        detail: format!("{what} is not valid in HTTP/1.1"),
    }
}

fn request_line(line: &str) -> Option<Head> {
    let mut parts = line.split(' ');
    let (method, target, version) = (parts.next()?, parts.next()?, parts.next()?);
    let modern = match version {
        "HTTP/1.0" => false,
        "HTTP/1.1" => true,
        _ => return None,
    };

    if parts.next().is_some() || !target.starts_with('/') {
        return None;
    }

    target.parse::<Uri>().ok()?;

    Some(Head {
        headers: Vec::new(),
        keep: modern,
        method: Method::from_bytes(method.as_bytes()).ok()?.to_string(),
        modern,
        target: target.into(),
    })
}

fn header(line: &str) -> Option<(String, String)> {
    let (name, value) = line.split_once(':')?;
    let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
    let value = HeaderValue::from_str(value.trim()).ok()?;
    Some((name.to_string(), value.to_str().ok()?.into()))
}

fn line_of(reader: &mut impl BufRead, left: &mut usize, limit: usize) -> Result<String, Fault> {
    line(reader, left, limit)?.ok_or_else(|| invalid("the end of the header"))
}

fn line(
    reader: &mut impl BufRead,
    left: &mut usize,
    limit: usize,
) -> Result<Option<String>, Fault> {
    let mut bytes = Vec::new();
    let max = u64::try_from(*left).unwrap_or(u64::MAX);
    let read = reader
        .take(max)
        .read_until(b'\n', &mut bytes)
        .map_err(|error| broken(&error))?;
    *left -= read;

    if read == 0 && *left > 0 {
        return Ok(None);
    }

    match bytes.strip_suffix(b"\n") {
        Some(line) => {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let line = std::str::from_utf8(line).map_err(|_| invalid("the header's text"))?;
            Ok(Some(line.into()))
        }
        None if *left == 0 => Err(Fault::Header { limit }),
        None => Err(invalid("the end of the header")),
    }
}

fn broken(error: &io::Error) -> Fault {
    Fault::Invalid {
        detail: format!("the request broke off: {error}"),
    }
}
