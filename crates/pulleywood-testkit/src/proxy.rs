//! A TCP proxy between two controllers, which a test can cut to simulate a partition.
//!
//! It forwards bytes unchanged and in order, and closes its connections shortly after it is
//! cut. Delays, the loss of single messages, and partitions in which connections stay open
//! without an answer are not simulated.

use crate::loopback;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Forwards connections to one address until it is cut.
#[derive(Debug)]
pub struct CuttableProxy {
    /// Address on which the proxy listens.
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl CuttableProxy {
    /// Starts a proxy that forwards connections to the address `to`.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub fn start(to: SocketAddr) -> std::io::Result<CuttableProxy> {
        let listener = TcpListener::bind(loopback())?;
        let addr = listener.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        let shared_cut = Arc::clone(&cut);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cut = Arc::clone(&shared_cut);
                std::thread::spawn(move || forward(stream, to, &cut));
            }
        });
        Ok(CuttableProxy { addr, cut })
    }

    /// Cuts all connections and closes new ones at once, or forwards new ones again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// Connects to `to` and copies bytes in both directions until either side closes or the proxy
/// is cut.
fn forward(incoming: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    if cut.load(Ordering::Relaxed) {
        return;
    }
    let Ok(outgoing) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return;
    };
    let (Ok(return_from), Ok(return_to)) = (outgoing.try_clone(), incoming.try_clone()) else {
        return;
    };
    let return_cut = Arc::clone(cut);
    std::thread::spawn(move || copy(return_from, return_to, &return_cut));
    copy(incoming, outgoing, cut);
}

/// Copies bytes in one direction until either side closes or the proxy is cut, and then closes
/// both connections.
fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut chunk = [0; 4096];
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    while !cut.load(Ordering::Relaxed) {
        match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => {
                if to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
