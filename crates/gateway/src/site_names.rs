//! The sites that the operator file names, and their numbers.

use crate::routing::SiteId;

/// The names of all sites, the own one first.
#[derive(Debug, Clone)]
pub(crate) struct SiteNames {
    names: Vec<String>,
}

/// The number of the own site.
pub(crate) const OWN_SITE: SiteId = SiteId(0);

/// Stands for a site that the operator file does not name.
const UNNAMED_SITE: SiteId = SiteId(u16::MAX);

impl SiteNames {
    pub fn new(own: String, others: Vec<String>) -> Self {
        let mut names = vec![own];
        names.extend(others);
        Self { names }
    }

    pub fn own(&self) -> &str {
        &self.names[0]
    }

    pub fn name(&self, site: SiteId) -> Option<&str> {
        self.names.get(usize::from(site.0)).map(String::as_str)
    }

    pub fn id(&self, name: &str) -> Option<SiteId> {
        self.names.iter().position(|known| known == name).map(|n| SiteId(n as u16))
    }

    /// The numbers of sites; one that has none still counts as passed.
    pub fn ids(&self, names: &[String]) -> Vec<SiteId> {
        names.iter().map(|name| self.id(name).unwrap_or(UNNAMED_SITE)).collect()
    }

    /// All sites but the own one.
    pub fn others(&self) -> impl Iterator<Item = SiteId> {
        (1..self.names.len() as u16).map(SiteId)
    }
}
