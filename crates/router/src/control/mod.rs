//! The control socket: one request and one response on each connection, for the commands of this program.
//!
//! - [`messages`]: the requests and responses;
//! - [`server`]: the socket, its connections and their timeouts.

mod messages;
mod server;

pub use messages::{
    AuditStorageView, BudgetView, ControlRequest, ControlResponse, DrainedCache, FleetView, HierarchyView,
    MigrationView, OperatorFloorView, SiteDetail,
};
pub use server::ControlServer;
