//! The sites in the operator file and their ids.

use crate::routing::SiteId;

/// The names of all sites, the local one first.
#[derive(Debug, Clone)]
pub(crate) struct SiteNames {
    names: Vec<String>,
}

/// The id of the local site.
pub(crate) const LOCAL_SITE: SiteId = SiteId(0);

/// Represents a site that is not in the operator file.
const UNNAMED_SITE: SiteId = SiteId(u16::MAX);

impl SiteNames {
    pub fn new(local: String, others: Vec<String>) -> Self {
        let mut names = vec![local];
        names.extend(others);
        Self { names }
    }

    pub fn local(&self) -> &str {
        &self.names[0]
    }

    pub fn name(&self, site: SiteId) -> Option<&str> {
        self.names.get(usize::from(site.0)).map(String::as_str)
    }

    pub fn id(&self, name: &str) -> Option<SiteId> {
        self.names.iter().position(|known| known == name).map(|n| SiteId(n as u16))
    }

    /// The ids of sites that a request has passed. An unknown site also gets an entry, since it counts as
    /// passed.
    pub fn ids(&self, names: &[String]) -> Vec<SiteId> {
        names.iter().map(|name| self.id(name).unwrap_or(UNNAMED_SITE)).collect()
    }

    /// All sites except the local one.
    pub fn others(&self) -> impl Iterator<Item = SiteId> {
        (1..self.names.len() as u16).map(SiteId)
    }
}
