//! HTTP/1.1 for the stand-ins: a server with a thread a connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a value of the query as text.
    pub fn value(&self, key: &str) -> &str {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(name, _)| *name == key).map_or("", |(_, value)| value)
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    headers.find(|(header, _)| header.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Serves every request on a connection of its own thread. The handler returns whether
/// the connection stays open.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    match handler(&request, &mut writer) {
                        Ok(true) => {}
                        _ => break,
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_headers(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let chunked = find(&headers, "transfer-encoding").is_some();
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    if chunked {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, path: path.into(), query: query.into(), headers, body }))
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<bool> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)?;
    Ok(true)
}

/// An answer as a consumer saw it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was no whole head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived in full.
    pub complete: bool,
    pub error: String,
}

/// Sends a request on a new connection and reads the answer to its end.
pub fn send(address: SocketAddr, text: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer::default();
    if let Err(error) = exchange(address, text, limit, &mut answer) {
        answer.error = error.to_string();
    }
    answer
}

fn exchange(address: SocketAddr, text: &[u8], limit: Duration, answer: &mut Answer) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(text)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_headers(&mut reader)? else {
        return Err(io::Error::other("closed before an answer"));
    };
    answer.status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    if find(&answer.headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend(chunk);
        }
    } else if let Some(length) = find(&answer.headers, "content-length") {
        let length = length.parse::<usize>().unwrap_or(0);
        let mut buffer = vec![0; 65536];
        while answer.body.len() < length {
            let count = reader.read(&mut buffer)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            answer.body.extend_from_slice(&buffer[..count]);
        }
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.complete = true;
    Ok(())
}
