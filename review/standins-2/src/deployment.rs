//! A small deployment: the text of its settings.

/// The settings of one router, as the kit's pages name them.
pub struct Settings {
    /// The zones; the first is the hub, where parents and the origin stand.
    pub zones: Vec<&'static str>,
    /// The router's own zone, by its place in `zones`.
    pub own_zone: usize,
    /// The routers in each zone.
    pub routers: Vec<u32>,
    /// `name`, `effect`, `objective`, `deadline`, whether it runs at the origin, fresh time.
    pub classes: Vec<(&'static str, &'static str, u32, u32, bool, u32)>,
    pub tells: &'static str,
    pub may_bypass: bool,
}

impl Settings {
    /// One shop with one router, like the example of the repository.
    pub fn shop() -> Self {
        Self {
            zones: vec!["hub", "shop"],
            own_zone: 1,
            routers: vec![0, 1],
            classes: vec![
                ("video", "read_like", 400, 3000, false, 0),
                ("page", "read_like", 300, 2000, false, 12000),
                ("booking", "non_idempotent", 800, 3000, true, 0),
            ],
            tells: "all",
            may_bypass: true,
        }
    }

    pub fn json(&self) -> String {
        let list = |items: Vec<String>| format!("[{}]", items.join(","));
        let zones = list(self.zones.iter().map(|zone| format!("\"{zone}\"")).collect());
        let seats = list(self.routers.iter().map(u32::to_string).collect());
        let attached = list(self.zones.iter().map(|_| "0".to_string()).collect());
        let each = |text: fn(&(&str, &str, u32, u32, bool, u32)) -> String| {
            list(self.classes.iter().map(text).collect())
        };
        let grades = each(|(name, effect, objective, deadline, _, _)| {
            format!(
                "{{\"name\":\"{name}\",\"objective\":{objective},\"aim-stretch\":2,\"deadline\":{deadline},\
                 \"effect\":\"{effect}\",\"dedup-scope\":\"all\",\"late-worth\":0.2,\"streamed\":false,\
                 \"window\":5000,\"worth\":2}}"
            )
        });
        let parts = each(|_| "false".to_string());
        let pass_on = each(|class| class.4.to_string());
        let max_age = each(|class| class.5.to_string());
        let grace = each(|_| "0".to_string());
        let worth = each(|_| "0.7".to_string());
        let routers: u32 = self.routers.iter().sum();
        let (own, tells, bypass) = (self.own_zone, self.tells, self.may_bypass);
        format!(
            "{{\"allowed\":{{\"conn-idle\":15000,\"connect-timeout\":400,\"cpu-us-per-request\":0,\"cpu-us-per-s\":400000,\
             \"max-attempts\":6,\"max-open\":2000,\"max-retry-after\":2000,\"may-cancel\":true,\"parallel-tries\":false,\
             \"peers\":false,\"probes\":true,\"retry-after\":true,\"streams-per-conn\":100}},\
             \"balancers\":{routers},\"callers\":{{\"marks-retry\":true}},\"counted-by\":\"request\",\"dcs\":{zones},\
             \"discovery\":\"pushed\",\"family\":\"edge\",\"family-info\":{{\"attached-to\":{attached},\
             \"bypass-allowed\":{bypass},\"class-parts\":{parts},\"cleared-within\":6000,\"flow-kb-per-s\":1000,\
             \"grace-for\":{grace},\"max-age\":{max_age},\"merges-fills\":false,\"notice-time\":1000,\
             \"old-copy-worth\":{worth},\"origin-over-for\":3000,\"parent-fall-multiple\":2,\"parent-floor\":0.07,\
             \"parent-warms-in\":22000,\"pass-on\":{pass_on},\"peers-fill\":\"any\",\"seats-by-zone\":{seats},\
             \"second-tier-kind\":1,\"store-kind\":2,\"tells\":\"{tells}\",\"transit-price\":0.02}},\
             \"grades\":{grades},\"kinds\":[\"box\",\"parent\",\"store\"],\"locality\":{own},\"me\":0,\
             \"report\":{{\"fields\":[\"outstanding\",\"utilization\"],\"how\":\"on_probe\"}},\"resolution\":2,\
             \"rules\":{{\"ask-within\":10000,\"cold\":16000,\"drain-grace\":250,\"fall\":3000,\"fall-multiple\":3,\
             \"grace-to-answer\":8,\"start-capacity\":0.23}},\"tenants\":[],\"tier\":0,\"weight-source\":\"nominal\"}}"
        )
    }
}

/// The configuration after `name` and `listen`.
pub fn config(journal: std::net::SocketAddr, known: &str, settings: &Settings) -> String {
    format!(
        "\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"journal\":\"{journal}\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":{known},\
         \"settings\":{}",
        settings.json()
    )
}
