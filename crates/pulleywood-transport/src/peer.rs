//! Remote calls between controllers: length-prefixed MessagePack over TCP.

use crate::client::{connect, remaining};
use crate::server::listen;
use parking_lot::Mutex;
use pulleywood_protocol::peer::{PeerRequest, PeerResponse};
use serde::{Serialize, de::DeserializeOwned};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Maximum size of a message in bytes. A digest takes about a hundred bytes per machine.
const MAX_MESSAGE: usize = 16 << 20;
/// Maximum size of a frame in bytes. A longer message is split into frames, so that the
/// receiver allocates memory only as data arrives.
const MAX_FRAME: usize = 256 << 10;
/// Flag in the length prefix of a frame: another frame of the same message follows.
const MORE_FRAMES: u32 = 1 << 31;
/// Stack size of the threads that serve peers, in bytes.
const STACK_SIZE: usize = 192 * 1024;

fn invalid_data(text: String) -> std::io::Error {
    std::io::Error::new(ErrorKind::InvalidData, text)
}

fn write_message<T: Serialize>(stream: &mut impl Write, message: &T) -> std::io::Result<()> {
    let body = rmp_serde::to_vec(message).map_err(|e| invalid_data(e.to_string()))?;
    if body.len() > MAX_MESSAGE {
        return Err(invalid_data(format!(
            "peer message of {} bytes exceeds the limit of {MAX_MESSAGE} bytes",
            body.len()
        )));
    }
    let mut remaining_bytes = body.len();
    for frame in body.chunks(MAX_FRAME) {
        remaining_bytes -= frame.len();
        let flag = if remaining_bytes > 0 { MORE_FRAMES } else { 0 };
        let mut encoded = Vec::with_capacity(frame.len() + 4);
        encoded.extend_from_slice(&(frame.len() as u32 | flag).to_be_bytes());
        encoded.extend_from_slice(frame);
        stream.write_all(&encoded)?;
    }
    Ok(())
}

fn read_message<T: DeserializeOwned>(stream: &mut impl Read) -> std::io::Result<T> {
    let mut body = Vec::new();
    loop {
        let mut prefix = [0u8; 4];
        stream.read_exact(&mut prefix)?;
        let prefix = u32::from_be_bytes(prefix);
        let length = (prefix & !MORE_FRAMES) as usize;
        let start = body.len();
        if length > MAX_FRAME || start + length > MAX_MESSAGE {
            log::error!(
                "rejected a peer message with a frame of {length} bytes after {start} bytes: the \
                 limits are {MAX_FRAME} bytes per frame and {MAX_MESSAGE} per message"
            );
            return Err(invalid_data(format!(
                "peer message exceeds the size limits: frame of {length} bytes after {start} bytes"
            )));
        }
        body.resize(start + length, 0);
        stream.read_exact(&mut body[start..])?;
        if prefix & MORE_FRAMES == 0 {
            return rmp_serde::from_slice(&body).map_err(|e| invalid_data(e.to_string()));
        }
    }
}

/// Client of one other controller. It keeps one connection open between calls; a call that
/// starts while another uses it opens its own.
#[derive(Debug)]
pub struct PeerClient {
    addr: SocketAddr,
    connection: Mutex<Option<TcpStream>>,
}

impl PeerClient {
    /// Creates a client of the controller at `addr`. It connects at the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            connection: Mutex::new(None),
        }
    }

    /// Sends a request and waits for the response. The request may be sent twice: it is
    /// repeated on a new connection if a reused one fails for another reason than a timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the controller cannot be reached or does not respond within
    /// `timeout`.
    pub fn call(&self, request: &PeerRequest, timeout: Duration) -> std::io::Result<PeerResponse> {
        let deadline = Instant::now() + timeout;
        // The connection is taken out while in use, so that no lock is held during I/O.
        let idle = self.connection.lock().take();
        let reused = idle.is_some();
        let mut stream = match idle {
            Some(stream) => stream,
            None => connect(self.addr, deadline)?,
        };
        let result = match exchange(&mut stream, request, deadline) {
            // A restart of the other controller closes the idle connection.
            Err(e)
                if reused
                    && e.kind() != ErrorKind::TimedOut
                    && e.kind() != ErrorKind::WouldBlock =>
            {
                stream = connect(self.addr, deadline)?;
                exchange(&mut stream, request, deadline)
            }
            other => other,
        };
        if result.is_ok() {
            *self.connection.lock() = Some(stream);
        }
        result
    }
}

fn exchange(
    stream: &mut TcpStream,
    request: &PeerRequest,
    deadline: Instant,
) -> std::io::Result<PeerResponse> {
    stream.set_write_timeout(Some(remaining(deadline)?))?;
    write_message(stream, request)?;
    stream.set_read_timeout(Some(remaining(deadline)?))?;
    read_message(stream)
}

/// Starts a server for the other controllers and returns the address that it listens on.
/// Further connections are closed while `max_connections` are open.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound or the thread cannot be started.
pub fn serve(
    addr: SocketAddr,
    max_connections: usize,
    handler: impl Fn(PeerRequest) -> PeerResponse + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = listen(addr, max_connections)?;
    let bound_addr = listener.local_addr()?;
    let handler = Arc::new(handler);
    let open_connections = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new()
        .name("peers".into())
        .stack_size(STACK_SIZE)
        .spawn(move || {
            loop {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                };
                if open_connections.load(Ordering::Relaxed) >= max_connections {
                    continue;
                }
                open_connections.fetch_add(1, Ordering::Relaxed);
                let (handler, open) = (Arc::clone(&handler), Arc::clone(&open_connections));
                let started = std::thread::Builder::new()
                    .name("peer".into())
                    .stack_size(STACK_SIZE)
                    .spawn(move || {
                        if let Err(e) = serve_connection(stream, &*handler) {
                            log::debug!("closed a peer connection: {e}");
                        }
                        open.fetch_sub(1, Ordering::Relaxed);
                    });
                if started.is_err() {
                    open_connections.fetch_sub(1, Ordering::Relaxed);
                }
            }
        })?;
    Ok(bound_addr)
}

/// Answers requests one after another until the connection fails or closes.
fn serve_connection(
    mut stream: TcpStream,
    handler: &dyn Fn(PeerRequest) -> PeerResponse,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    loop {
        let request = read_message(&mut stream)?;
        write_message(&mut stream, &handler(request))?;
    }
}

#[cfg(test)]
mod tests;
