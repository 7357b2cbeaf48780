//! Validation of the settings file.

use comfreyhold_fleet::settings::FleetSettings;
use std::time::Duration;

const VALID: &str = "
instance: entry-1
domain: a
ip: 10.0.0.1
exchange_port: 7700
seeds: [\"10.0.0.2:80\", \"10.0.1.2:80\"]
announce_interval_ms: 1000
tolerate:
  instances: 1
bounds:
  stop_s: 6
";

/// Guards against connections to the seeds at the port for operators.
#[test]
fn seeds_are_reached_at_the_exchange_port() {
    let settings = FleetSettings::parse(VALID).unwrap();
    let seeds: Vec<String> =
        settings.seed_exchange_addresses().iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.0.0.2:7700", "10.0.1.2:7700"]);
}

/// Guards against a process that is killed because its graceful stop takes longer than `bounds.stop_s`.
#[test]
fn the_stop_time_is_at_most_half_of_the_bound() {
    let settings = FleetSettings::parse(VALID).unwrap();
    assert_eq!(settings.stop_time(Duration::from_secs(1)), Duration::from_secs(1));
    assert_eq!(settings.stop_time(Duration::from_secs(60)), Duration::from_secs(3));
}

/// Guards against a daemon that starts with invalid or unknown settings.
#[test]
fn invalid_settings_are_rejected_by_field() {
    let cases = [
        ("instance: entry-1", "instance: \"\"", "instance"),
        ("domain: a", "domain: \"\"", "domain"),
        ("exchange_port: 7700", "exchange_port: 0", "exchange_port"),
        ("exchange_port: 7700", "exchange_port: 70000", "exchange_port"),
        ("ip: 10.0.0.1", "ip: ten", "ip"),
        ("seeds: [\"10.0.0.2:80\", \"10.0.1.2:80\"]", "seeds: []", "seeds"),
        ("announce_interval_ms: 1000", "announce_interval_ms: 0", "announce_interval_ms"),
        ("instances: 1", "instances: 5", "tolerate.instances"),
        ("stop_s: 6", "stop_s: 0", "bounds.stop_s"),
        ("domain: a", "domain: a\ncolour: red", "colour"),
        ("ip: 10.0.0.1", "", "ip"),
        ("domain: a", "domain: a\nlimits: {link_mbps: -1}", "limits.link_mbps"),
        ("domain: a", "domain: a\nlimits: {link_mbps: .nan}", "limits.link_mbps"),
        ("domain: a", "domain: a\nlimits: {link_mbps: .inf}", "limits.link_mbps"),
        ("domain: a", "domain: a\nlimits: {link_mbps: 1000001}", "limits.link_mbps"),
        ("domain: a", "domain: a\nlimits: {link_mbps: fast}", "link_mbps"),
        ("domain: a", "domain: a\nlimits: {mbps: 5}", "mbps"),
    ];
    for (valid, invalid, field) in cases {
        let text = VALID.replace(valid, invalid);
        assert_ne!(text, VALID);
        let error = format!("{:#}", FleetSettings::parse(&text).unwrap_err());
        assert!(error.contains(field), "{invalid}: {error}");
    }
}

/// Guards against a rate that is not applied, and against one where none is stated.
#[test]
fn the_rate_of_the_link_is_optional() {
    let rate = |limits: &str| {
        let settings = FleetSettings::parse(&format!("{VALID}{limits}")).unwrap();
        (settings.link().map(|link| link.mbps()), settings.summary()["link_mbps"].clone())
    };
    assert_eq!(rate(""), (None, "none".to_owned()));
    assert_eq!(rate("limits: {}"), (None, "none".to_owned()));
    assert_eq!(rate("limits:\n  link_mbps: 0"), (None, "none".to_owned()));
    assert_eq!(rate("limits:\n  link_mbps: 5"), (Some(5.0), "5".to_owned()));
    assert_eq!(rate("limits:\n  link_mbps: 1.5"), (Some(1.5), "1.5".to_owned()));
}
