"""HTTP calls to loopback ports with a timeout."""

import http.client
import json


def call(port, method, target, body=None, timeout=2.0):
    """Returns (status, body text); raises OSError when no response comes."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, target, body)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except http.client.HTTPException as failed:
        raise OSError(str(failed)) from failed
    finally:
        connection.close()


def call_json(port, method, target, value=None, timeout=2.0):
    body = None if value is None else json.dumps(value)
    status, text = call(port, method, target, body, timeout)
    if status >= 400:
        raise OSError(f"{method} {target}: {status} {text}")
    return json.loads(text)
