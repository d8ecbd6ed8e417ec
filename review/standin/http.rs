//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client call.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Connections that were accepted so far.
static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// A request as it was read.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of its connection.
    pub connection: u64,
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Header names are in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A response; `None` closes the connection without one.
pub type Response = Option<(u16, Vec<u8>)>;

/// Answers requests on the listener until the process ends.
pub fn serve(listener: TcpListener, answer: impl Fn(Request) -> Response + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*answer);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    answer: &(impl Fn(Request) -> Response + Send + Sync),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let connection = CONNECTIONS.fetch_add(1, Ordering::Relaxed);
    while let Some(request) = read_request(&mut reader, connection)? {
        let Some((status, body)) = answer(request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.as_bytes(), &body].concat())?;
    }
    Ok(())
}

fn read_request(
    reader: &mut BufReader<TcpStream>,
    connection: u64,
) -> std::io::Result<Option<Request>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
    let (headers, body) = read_rest(reader)?;
    Ok(Some(Request { connection, method, path: path.to_owned(), query, headers, body }))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut line = String::new();
    let read = reader.read_line(&mut line)?;
    Ok((read > 0).then(|| line.trim_end().to_owned()))
}

fn read_rest(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<(HashMap<String, String>, Vec<u8>)> {
    let mut headers = HashMap::new();
    while let Some(line) = read_line(reader)?.filter(|line| !line.is_empty()) {
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, body))
}

fn unescape(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let code = (*first == b'%').then(|| after.get(..2)).flatten();
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// One call on a connection of its own; `None` if no whole response came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    time: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, time).ok()?;
    stream.set_read_timeout(Some(time)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let first = read_line(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let (headers, mut body) = read_rest(&mut reader).ok()?;
    if headers.contains_key("transfer-encoding") {
        // The connection ends with the response. The sizes of the chunks stay between its lines.
        reader.read_to_end(&mut body).ok()?;
    }
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
