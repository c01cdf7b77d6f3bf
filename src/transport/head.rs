//! Parsing of the head of an HTTP/1 request: the request line and the headers.

use {
    crate::transport::server::Fault,
    std::io::{self, BufRead, Read},
};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// The request line and headers of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    pub headers: Vec<(String, String)>,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
    pub method: String,
    /// Whether the caller uses HTTP/1.1, and thus supports chunked responses.
    pub is_http_1_1: bool,
    pub target: String,
}

impl Head {
    /// Reads a head of at most `limit` bytes. Returns `None` if the connection
    /// was closed before the first byte.
    ///
    /// # Errors
    ///
    /// Returns a fault if the head is too long, incomplete or invalid.
    pub fn read(reader: &mut impl BufRead, limit: usize) -> Result<Option<Self>, Fault> {
        let mut bytes = Vec::new();

        while !bytes.ends_with(b"\r\n\r\n") && !bytes.ends_with(b"\n\n") {
            let remaining = u64::try_from(limit - bytes.len()).unwrap_or(u64::MAX);
            let read = reader.take(remaining).read_until(b'\n', &mut bytes);

            match read.map_err(|error| read_error(&error))? {
                0 if bytes.len() == limit => return Err(Fault::Header { limit }),
                0 if bytes.is_empty() => return Ok(None),
                0 => return Err(invalid("the end of the header")),
                _ => {}
            }
        }

        Self::parse(&bytes).map(Some)
    }

    fn parse(bytes: &[u8]) -> Result<Self, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        request
            .parse(bytes)
            .map_err(|error| invalid(&format!("the head ({error})")))?;

        let (Some(method), Some(target)) = (request.method, request.path) else {
            return Err(invalid("the request line"));
        };

        if !target.starts_with('/') {
            return Err(invalid("the request's target"));
        }

        let is_http_1_1 = request.version == Some(1);
        let mut head = Self {
            headers: Vec::new(),
            keep_alive: false,
            method: method.into(),
            is_http_1_1,
            target: target.into(),
        };

        for header in request.headers.iter() {
            let value = std::str::from_utf8(header.value).map_err(|_| invalid("a header"))?;
            let name = header.name.to_ascii_lowercase();
            head.headers.push((name, value.into()));
        }

        let connection = head.header("connection").unwrap_or("").to_ascii_lowercase();
        head.keep_alive = is_http_1_1 && !connection.contains("close");
        Ok(head)
    }

    /// Returns the length of the body in bytes, which is 0 without a
    /// `content-length` header.
    ///
    /// # Errors
    ///
    /// Returns a fault if `content-length` occurs more than once or is not a
    /// number, or if the request has a `transfer-encoding`.
    pub fn body_bytes(&self) -> Result<u64, Fault> {
        if let Some(encoding) = self.header("transfer-encoding") {
            let expected = "none, and a content-length";
            return Err(unexpected("transfer-encoding", encoding, expected));
        }

        let mut lengths = self
            .headers
            .iter()
            .filter(|(name, _)| name == "content-length")
            .map(|(_, value)| value);

        const NAME: &str = "content-length";

        match (lengths.next(), lengths.next()) {
            (None, _) => Ok(0),
            // `parse` alone would also accept a sign.
            (Some(length), None) if length.bytes().all(|byte| byte.is_ascii_digit()) => length
                .parse()
                .map_err(|_| unexpected(NAME, length, "a whole number of bytes")),
            (Some(length), None) => Err(unexpected(NAME, length, "a whole number of bytes")),
            (Some(length), Some(_)) => Err(unexpected(NAME, length, "one header of this name")),
        }
    }

    /// Returns the value of the first header with this name, which must be in
    /// lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
}

fn invalid(what: &str) -> Fault {
    Fault::Invalid {
        detail: format!("{what} is not valid in HTTP/1.1"),
    }
}

fn unexpected(name: &str, value: &str, expected: &str) -> Fault {
    Fault::Invalid {
        detail: format!("{name} is {value:?}, expected {expected}"),
    }
}

fn read_error(error: &io::Error) -> Fault {
    Fault::Invalid {
        detail: format!("the request broke off: {error}"),
    }
}
