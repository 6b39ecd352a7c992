//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request, or the head of an answer, with its body.
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns a parameter of the query of a request.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(other, _)| *other == name)
            .map(|(_, value)| value)
            .next()
    }
}

/// Reads a first line and headers; `None` if the connection ends before them.
pub fn read_head(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if input.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match header.trim_end().split_once(':') {
            Some((name, value)) => headers.push((name.into(), value.trim().into())),
            None => break,
        }
    }
    Ok(Some(Message {
        line: line.trim_end().into(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads a request with its body, which has a length or is empty.
pub fn read_request(input: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(input)? else {
        return Ok(None);
    };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// At its length, or with the last chunk.
    Complete,
    /// The connection ended, and the answer has neither a length nor chunks.
    Connection,
    /// The connection ended or broke before the end.
    Broken,
}

/// Reads the body of an answer to its end.
pub fn read_body(input: &mut BufReader<TcpStream>, answer: &mut Message) -> BodyEnd {
    let length = answer
        .header("content-length")
        .and_then(|text| text.parse::<u64>().ok());
    let is_chunked = answer
        .header("transfer-encoding")
        .is_some_and(|text| text == "chunked");
    match (is_chunked, length) {
        (true, _) => loop {
            match read_chunk(input) {
                Ok(Some(chunk)) => answer.body.extend(chunk),
                Ok(None) => return BodyEnd::Complete,
                Err(_) => return BodyEnd::Broken,
            }
        },
        (false, Some(length)) => match input.take(length).read_to_end(&mut answer.body) {
            Ok(read) if read as u64 == length => BodyEnd::Complete,
            _ => BodyEnd::Broken,
        },
        (false, None) => match input.read_to_end(&mut answer.body) {
            Ok(_) => BodyEnd::Connection,
            Err(_) => BodyEnd::Broken,
        },
    }
}

/// Reads a chunk; `None` is the last one.
fn read_chunk(input: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    input.read_line(&mut line)?;
    let size = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    input.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Writes an answer with a length.
pub fn write_answer(
    output: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    output.write_all(&[head.as_bytes(), body].concat())
}
