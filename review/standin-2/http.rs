//! A small HTTP/1.1 server and client over threads.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as a stand-in receives it.
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Call {
    /// A number of the query; 0 if it is missing.
    pub fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Status and body of an answer; `None` leaves the connection without one.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(Call) -> Answer + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || drop(serve_connection(stream, &*handler)));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Call) -> Answer) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some((first, headers)) = read_head(&mut reader)? else { return Ok(()) };
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        let call = Call { method, path: path.to_owned(), query, headers, body };
        let Some((status, body)) = handler(call) else { return Ok(()) };
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n", body.len());
        writer.write_all(&[head.as_bytes(), &body].concat())?;
    }
}

type Head = (String, HashMap<String, String>);

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Ok(Some((first.trim_end().to_owned(), headers)))
}

/// Sends one request on a connection of its own; `None` without a whole answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ndeadline-ms: 3000\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = Vec::new();
    match headers.get("content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None => drop(reader.read_to_end(&mut body)),
    }
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
