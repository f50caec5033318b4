//! Two processes that run under one router name: the earlier incarnation keeps the name.

use serde::{Deserialize, Serialize};

/// Two processes under one name: the start that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NameHolder {
    pub incarnation: u64,
}
