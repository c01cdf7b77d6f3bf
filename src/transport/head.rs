//! The head of an HTTP/1 request: its request line and headers.

use {
    crate::transport::server::Fault,
    std::io::{self, BufRead, Read},
};

/// Most headers of one request.
const MAX_HEADERS: usize = 64;

/// The head of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    pub headers: Vec<(String, String)>,
    /// Whether the connection may carry another request afterwards.
    pub keep_alive: bool,
    pub method: String,
    /// Whether the caller knows HTTP/1.1, and with it chunks.
    pub is_http_1_1: bool,
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

    /// Returns the length of the body.
    ///
    /// # Errors
    ///
    /// Returns a fault if the length is not given exactly once as a number.
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
            // `parse` alone would take a sign too.
            (Some(length), None) if length.bytes().all(|byte| byte.is_ascii_digit()) => length
                .parse()
                .map_err(|_| unexpected(NAME, length, "a whole number of bytes")),
            (Some(length), None) => Err(unexpected(NAME, length, "a whole number of bytes")),
            (Some(length), Some(_)) => Err(unexpected(NAME, length, "one header of this name")),
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
