//! Request handlers: users, workers, other controllers, and the platform's readiness probe.

mod cancellations;
mod confirmation;
mod health;
mod job_status;
pub mod peers;
mod router;
pub mod submissions;
mod users;
mod workers;

pub use health::ready;
pub use router::RequestRouter;
