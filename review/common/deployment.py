"""Configurations like those of a small deployment."""

MODEL = "wording-model"
ORDERS = "registry-app"
KEY = "n2ctnfzs989anu6wsjnb"


def route(name, prefix, kind, service, timeout_ms, goal_ms, attempts, resumable=False):
    entry = {"name": name, "host": "plaques.example", "pathPrefix": prefix, "kind": kind,
             "timeoutMs": timeout_ms, "goalMs": goal_ms, "priority": 1, "service": service,
             "maxAttempts": attempts, "public": False}
    if kind == "streaming":
        entry.update(sticky=True, resumable=resumable, gapTargetMs=400)
    return entry


def service(name, engine=False, max_conns=480):
    entry = {"name": name, "healthPath": "/healthz", "maxConns": max_conns, "protocol": "h1",
             "tls": False, "coldS": 3.0 if engine else 0.0, "coldPerS": 10.0 if engine else 0.0}
    if engine:
        entry["engine"] = {"slots": 96, "kvTokens": 216524, "kvBytes": 131072,
                           "linkMbps": 1100000.0, "moves": True, "backups": True, "stride": 5,
                           "most": 2, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
                           "models": [{"name": "m"}]}
    return entry


def config(version, routes, services, keys=(KEY,)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "installers", "apiKeys": list(keys), "priority": 1}]}


def usual_routes():
    return [route("digest", "/digest/", "streaming", MODEL, 5000, 800, 1),
            route("draft", "/draft/", "streaming", MODEL, 3000, 600, 2, resumable=True),
            route("order", "/order/", "unsafe", ORDERS, 1000, 100, 2),
            route("lookup", "/lookup/", "safe", ORDERS, 1000, 100, 2)]
