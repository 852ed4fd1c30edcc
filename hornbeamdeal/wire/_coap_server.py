"""CoAP codecs for backend servers and callers: stand-ins and the load tool."""

from dataclasses import dataclass

from aiocoap.message import Message
from aiocoap.numbers import codes, types
from result import Err, Ok, Result

from ._coap import (
    DEADLINE_OPTION,
    LOAD_OPTION,
    OBSERVE_DEREGISTER,
    OBSERVE_REGISTER,
    CancelMessage,
    _opaque_option,
    _read_option,
    decode_message,
)
from ._errors import MalformedMessageError

DEFAULT_DEADLINE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A request as a backend server receives it."""

    token: bytes
    message_id: int
    service: str
    path: str
    payload: bytes
    deadline_seconds: float


@dataclass(frozen=True, slots=True)
class ServerFlowMessage:
    """A datagram of a flow as a backend server receives it."""

    token: bytes
    opens: bool
    closes: bool


@dataclass(frozen=True, slots=True)
class CallerMessage:
    """A message as a caller receives it; `retry_after` is in seconds."""

    token: bytes
    code: str
    payload: bytes
    echo: bytes | None
    retry_after: int | None
    is_acknowledgement: bool


def decode_server_request(
    data: bytes,
) -> Result[ServerRequest | CancelMessage, MalformedMessageError]:
    """Decode a request or a cancellation for a backend server."""
    decoded = decode_message(data)
    if isinstance(decoded, Err):
        return decoded
    message = decoded.ok_value
    if message.mtype is types.RST:
        return Ok(CancelMessage(message.mid))
    if not message.code.is_request():
        return Err(MalformedMessageError("not_a_request", str(message.code)))
    deadline = _read_option(message, DEADLINE_OPTION)
    seconds = int.from_bytes(deadline, "big") / 1000 if deadline else None
    return Ok(
        ServerRequest(
            token=message.token,
            message_id=message.mid,
            service=message.opt.uri_host or "",
            path="/" + "/".join(message.opt.uri_path),
            payload=message.payload,
            deadline_seconds=DEFAULT_DEADLINE_SECONDS if seconds is None else seconds,
        )
    )


def encode_server_answer(
    request: ServerRequest,
    code: str,
    payload: bytes,
    load: float,
    max_age: int | None = None,
) -> bytes:
    """Encode a backend server's answer with its load, a fraction from 0 to 1."""
    message = Message(
        code=getattr(codes, code),
        mtype=types.NON,
        mid=request.message_id,
        token=request.token,
        payload=payload,
    )
    if max_age is not None:
        message.opt.max_age = max_age
    percent = min(100, max(0, round(load * 100)))
    message.opt.add_option(_opaque_option(LOAD_OPTION, bytes([percent])))
    return message.encode()


def decode_server_flow_message(data: bytes) -> ServerFlowMessage | None:
    """Decode a flow's datagram for a backend server; None if it is not a request."""
    decoded = decode_message(data)
    if isinstance(decoded, Err) or not decoded.ok_value.code.is_request():
        return None
    message = decoded.ok_value
    return ServerFlowMessage(
        token=message.token,
        opens=message.opt.observe == OBSERVE_REGISTER and message.opt.echo is None,
        closes=message.opt.observe == OBSERVE_DEREGISTER,
    )


def encode_notification(token: bytes, number: int, payload: bytes) -> bytes:
    """Encode a notification of an observed resource (RFC 7641)."""
    message = Message(
        code=codes.CONTENT,
        mtype=types.NON,
        mid=number & 0xFFFF,
        token=token,
        payload=payload,
    )
    message.opt.observe = number
    return message.encode()


def encode_registration(
    token: bytes, message_id: int, path: str, handle: bytes | None, opens: bool = True
) -> bytes:
    """Encode a caller's registration, refresh or deregistration (RFC 7641)."""
    message = Message(code=codes.GET, mtype=types.NON, mid=message_id, token=token)
    message.opt.observe = OBSERVE_REGISTER if opens else OBSERVE_DEREGISTER
    message.opt.uri_path = tuple(part for part in path.split("/") if part)
    if handle is not None:
        message.opt.echo = handle
    return message.encode()


def encode_caller_request(
    method: str,
    path: str,
    token: bytes,
    message_id: int,
    payload: bytes,
    run_token: bytes | None = None,
) -> bytes:
    """Encode a caller's confirmable request."""
    message = Message(
        code=getattr(codes, method),
        mtype=types.CON,
        mid=message_id,
        token=token,
        payload=payload,
    )
    message.opt.uri_path = tuple(part for part in path.split("/") if part)
    if run_token is not None:
        message.opt.echo = run_token
    return message.encode()


def decode_caller_message(data: bytes) -> Result[CallerMessage, MalformedMessageError]:
    """Decode a message for a caller."""
    decoded = decode_message(data)
    if isinstance(decoded, Err):
        return decoded
    message = decoded.ok_value
    is_empty_ack = message.code is codes.EMPTY and message.mtype is types.ACK
    is_refusal = message.code is codes.SERVICE_UNAVAILABLE
    return Ok(
        CallerMessage(
            token=message.token,
            code=message.code.name,
            payload=message.payload,
            echo=message.opt.echo,
            retry_after=message.opt.max_age if is_refusal else None,
            is_acknowledgement=is_empty_ack,
        )
    )
