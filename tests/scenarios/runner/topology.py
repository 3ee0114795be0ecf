"""The topology of a scenario, as its topology lines define it."""

import json

COVERAGE_OPTIONS = {"minimum", "settle_at", "settle_after_ms"}
UPSTREAM_LIMITS = {"slots", "cold_slots", "connections"}
UPSTREAM_DEFAULTS = {"slots": 3, "cold_slots": 1, "connections": 30}


def parse_value(text):
    """Parses an option as JSON, as a comma-separated list or as text."""
    try:
        return json.loads(text)
    except ValueError:
        pass
    if "," in text:
        return [parse_value(each) for each in text.split(",")]
    return text


class Topology:
    def __init__(self):
        self.centres = []
        self.instances = {}  # name -> centre
        self.upstreams = {}  # name -> {"centre", options}
        self.services = {}  # name -> [upstream]
        self.workloads = {}  # name -> {"service", options}
        self.snapshots = {}  # service -> {number: {shard: [replica]}}
        self.settings = {}
        self.relays = False
        self.platform_lag_ms = 0

    def add_centre(self, words, _):
        self.centres.extend(words)

    def add_instance(self, words, _):
        """instance NAME... in CENTRE"""
        names, centre = split_at(words, "in")
        for name in names:
            self.instances[name] = centre[0]

    def add_upstream(self, words, options):
        """upstream NAME... in CENTRE slots=3 ..."""
        names, centre = split_at(words, "in")
        for name in names:
            merged = {**UPSTREAM_DEFAULTS, **options}
            self.upstreams[name] = {"centre": centre[0], "options": merged}

    def add_service(self, words, _):
        """service NAME on UPSTREAM..."""
        names, upstreams = split_at(words, "on")
        self.services[names[0]] = upstreams

    def add_workload(self, words, options):
        """workload NAME of SERVICE deadline_ms=500 class=counter ..."""
        names, service = split_at(words, "of")
        merged = {"deadline_ms": 1000, "results": 10000, **options}
        self.workloads[names[0]] = {"service": service[0], "options": merged}

    def add_snapshot(self, words, options):
        """snapshot N of SERVICE a=k1,h1 ... or shards=N copies=M"""
        number, service = split_at(words, "of")
        service = service[0]
        if "shards" in options:
            placement = self.spread_replicas(service, options)
        else:
            placement = {shard: replicas if isinstance(replicas, list)
                         else [replicas]
                         for shard, replicas in options.items()}
        self.snapshots.setdefault(service, {})[int(number[0])] = placement
        return service

    def spread_replicas(self, service, options):
        """Places the replicas of each shard in as many data centres as
        possible."""
        by_centre = {}
        for name in self.services[service]:
            by_centre.setdefault(self.upstreams[name]["centre"], []).append(name)
        centres = list(by_centre.values())
        placement = {}
        for i in range(options["shards"]):
            replicas = []
            for copy in range(options.get("copies", 2)):
                group = centres[(i + copy) % len(centres)]
                step = i // len(centres) + copy // len(centres)
                replicas.append(group[step % len(group)])
            placement[f"{options.get('prefix', 's')}{i}"] = replicas
        return placement

    def set_settings(self, _, options):
        self.settings.update(options)

    def set_platform(self, _, options):
        self.platform_lag_ms = options.get("lag_ms", 0)

    def use_relays(self, _words, _options):
        self.relays = True

    LINES = {
        "centre": add_centre, "instance": add_instance,
        "upstream": add_upstream, "service": add_service,
        "workload": add_workload, "settings": set_settings,
        "platform": set_platform, "relays": use_relays,
    }

    def service_file(self, service, ports):
        upstreams = [
            {"name": name, "data_centre": self.upstreams[name]["centre"],
             "address": "127.0.0.1", "port": ports[name],
             **{key: value for key, value
                in self.upstreams[name]["options"].items()
                if key in UPSTREAM_LIMITS}}
            for name in self.services[service]]
        workloads = [workload_file(name, each["options"])
                     for name, each in self.workloads.items()
                     if each["service"] == service]
        return {"service": service, "upstreams": upstreams,
                "workloads": workloads}

    def snapshot_object(self, service):
        return {"snapshots": [
            {"snapshot": number,
             "shards": [{"shard": shard, "replicas": replicas}
                        for shard, replicas in placement.items()]}
            for number, placement in self.snapshots[service].items()]}


def workload_file(name, options):
    result = {"name": name}
    for key, value in options.items():
        if key in COVERAGE_OPTIONS:
            result.setdefault("coverage", {})[key] = value
        else:
            result[key] = value
    return result


def split_at(words, keyword):
    if keyword not in words:
        raise ValueError(f"the line needs the word '{keyword}'")
    position = words.index(keyword)
    return words[:position], words[position + 1:]
