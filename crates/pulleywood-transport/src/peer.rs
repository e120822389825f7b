//! Calls between controllers: length-prefixed MessagePack over TCP.

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

/// Most bytes of a message: a digest takes about a hundred a machine.
const MAX_MESSAGE: usize = 16 << 20;
/// Most bytes of a frame. A longer message is split, so that memory is taken
/// only for what has come.
const MAX_FRAME: usize = 256 << 10;
/// In a frame's length: another frame of the same message follows.
const MORE: u32 = 1 << 31;
const STACK: usize = 192 * 1024;

fn invalid(text: String) -> std::io::Error {
    std::io::Error::new(ErrorKind::InvalidData, text)
}

fn write_message<T: Serialize>(stream: &mut impl Write, message: &T) -> std::io::Result<()> {
    let body = rmp_serde::to_vec(message).map_err(|e| invalid(e.to_string()))?;
    if body.len() > MAX_MESSAGE {
        return Err(invalid(format!("a message of {} bytes", body.len())));
    }
    let mut left = body.len();
    for frame in body.chunks(MAX_FRAME) {
        left -= frame.len();
        let more = if left > 0 { MORE } else { 0 };
        let mut out = Vec::with_capacity(frame.len() + 4);
        out.extend_from_slice(&(frame.len() as u32 | more).to_be_bytes());
        out.extend_from_slice(frame);
        stream.write_all(&out)?;
    }
    Ok(())
}

fn read_message<T: DeserializeOwned>(stream: &mut impl Read) -> std::io::Result<T> {
    let mut body = Vec::new();
    loop {
        let mut head = [0u8; 4];
        stream.read_exact(&mut head)?;
        let head = u32::from_be_bytes(head);
        let length = (head & !MORE) as usize;
        let start = body.len();
        if length > MAX_FRAME || start + length > MAX_MESSAGE {
            log::error!("a message of more than {start} bytes from another controller");
            return Err(invalid("too long".into()));
        }
        body.resize(start + length, 0);
        stream.read_exact(&mut body[start..])?;
        if head & MORE == 0 {
            return rmp_serde::from_slice(&body).map_err(|e| invalid(e.to_string()));
        }
    }
}

/// Calls to one other controller, one at a time over a kept-alive connection.
#[derive(Debug)]
pub struct PeerClient {
    addr: SocketAddr,
    conn: Mutex<Option<TcpStream>>,
}

impl PeerClient {
    /// A client of the controller at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            conn: Mutex::new(None),
        }
    }

    /// Asks and waits for the reply.
    ///
    /// # Errors
    ///
    /// The controller cannot be reached or does not answer in time.
    pub fn ask(&self, ask: &PeerRequest, time: Duration) -> std::io::Result<PeerResponse> {
        let deadline = Instant::now() + time;
        // The connection is taken out while in use: no lock across I/O.
        let kept = self.conn.lock().take();
        let reused = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => connect(self.addr, deadline)?,
        };
        let result = match exchange(&mut stream, ask, deadline) {
            // A kept connection may have been closed by a restart.
            Err(e)
                if reused
                    && e.kind() != ErrorKind::TimedOut
                    && e.kind() != ErrorKind::WouldBlock =>
            {
                stream = connect(self.addr, deadline)?;
                exchange(&mut stream, ask, deadline)
            }
            other => other,
        };
        if result.is_ok() {
            *self.conn.lock() = Some(stream);
        }
        result
    }
}

fn exchange(
    stream: &mut TcpStream,
    ask: &PeerRequest,
    deadline: Instant,
) -> std::io::Result<PeerResponse> {
    stream.set_write_timeout(Some(remaining(deadline)?))?;
    write_message(stream, ask)?;
    stream.set_read_timeout(Some(remaining(deadline)?))?;
    read_message(stream)
}

/// Serves other controllers; at most `max` connections at a time.
///
/// # Errors
///
/// The socket cannot be opened.
pub fn serve(
    addr: SocketAddr,
    max: usize,
    answer: impl Fn(PeerRequest) -> PeerResponse + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = listen(addr, max)?;
    let bound = listener.local_addr()?;
    let answer = Arc::new(answer);
    let open = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new()
        .name("peers".into())
        .stack_size(STACK)
        .spawn(move || {
            loop {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                };
                if open.load(Ordering::Relaxed) >= max {
                    continue;
                }
                open.fetch_add(1, Ordering::Relaxed);
                let (answer, open_here) = (Arc::clone(&answer), Arc::clone(&open));
                let started = std::thread::Builder::new()
                    .name("peer".into())
                    .stack_size(STACK)
                    .spawn(move || {
                        if let Err(e) = converse(stream, &*answer) {
                            log::debug!("peer connection ended: {e}");
                        }
                        open_here.fetch_sub(1, Ordering::Relaxed);
                    });
                if started.is_err() {
                    open.fetch_sub(1, Ordering::Relaxed);
                }
            }
        })?;
    Ok(bound)
}

fn converse(
    mut stream: TcpStream,
    answer: &dyn Fn(PeerRequest) -> PeerResponse,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    loop {
        let ask = read_message(&mut stream)?;
        write_message(&mut stream, &answer(ask))?;
    }
}

#[cfg(test)]
mod tests;
