"""A desired state of many routes, as after some `big_config`."""

SHARDS = [f"shard-{i:02d}-a" for i in range(30)]
SERVICES = ["desk-1", "desk-2", *SHARDS]
ADDED_ROUTES = 1400


def large_routes(service):
    """The routes of one desired state; /book/ leads to `service`."""
    fixed = {"name": "r-book", "path_prefix": "/book/",
             "type": "non_idempotent", "service": service}
    return [fixed] + [
        {"name": f"r-{i:05d}", "path_prefix": f"/q{i:05d}/", "top_k": 20,
         "type": "idempotent", "min_shard_share": 0.89,
         "fanout_services": SHARDS} for i in range(ADDED_ROUTES)]
