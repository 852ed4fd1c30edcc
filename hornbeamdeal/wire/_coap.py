"""CoAP messages (RFC 7252, 7641, 9175), encoded and decoded by aiocoap."""

import math
import warnings
from dataclasses import dataclass
from typing import Any

from aiocoap import error as coap_error
from aiocoap.message import Direction, Message
from aiocoap.numbers import codes, types
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.optiontypes import OpaqueOption
from result import Err, Ok, Result

from hornbeamdeal.kernel import (
    Answer,
    AnswerStatus,
    DispatchOutcome,
    Endpoint,
    FlowPacket,
    Request,
    ServerAnswer,
)

from ._errors import MalformedMessageError

# aiocoap deprecates setting these message fields outside its own transport; this
# package has its own transport and has to set them.
warnings.filterwarnings("ignore", category=DeprecationWarning, module=__name__)

# Option numbers from the experimental range (RFC 7252, section 12.2). Both
# options are elective and safe to forward.
DEADLINE_OPTION = OptionNumber(65004)
LOAD_OPTION = OptionNumber(65008)
MAXIMUM_PAYLOAD_BYTES = 16 * 1024
MAXIMUM_TOKEN_BYTES = 8
OBSERVE_REGISTER = 0
OBSERVE_DEREGISTER = 1

IDEMPOTENT_METHODS = frozenset({"GET", "PUT", "DELETE", "FETCH", "iPATCH"})

_CODE_BY_STATUS = {
    AnswerStatus.ERROR: codes.BAD_GATEWAY,
    AnswerStatus.RUN_TOKEN_REQUIRED: codes.UNAUTHORIZED,
    AnswerStatus.NOT_RUN: codes.SERVICE_UNAVAILABLE,
    AnswerStatus.OUTCOME_UNKNOWN: codes.GATEWAY_TIMEOUT,
    AnswerStatus.BAD_REQUEST: codes.BAD_REQUEST,
}


@dataclass(frozen=True, slots=True)
class CancelMessage:
    """A reset message: the sender no longer wants the answer to a message."""

    message_id: int


@dataclass(frozen=True, slots=True)
class EmptyMessage:
    """An empty message: an acknowledgement or a ping."""

    message_id: int
    is_acknowledgement: bool


@dataclass(frozen=True, slots=True)
class ServerMessage:
    """A backend server's answer with the token of its exchange."""

    token: bytes
    answer: ServerAnswer


def decode_message(data: bytes) -> Result[Message, MalformedMessageError]:
    """Decode a CoAP message of at most MAXIMUM_PAYLOAD_BYTES."""
    if len(data) > MAXIMUM_PAYLOAD_BYTES:
        return Err(MalformedMessageError("oversize", f"{len(data)} bytes"))
    try:
        return Ok(Message.decode(data, None))
    except (coap_error.Error, ValueError, IndexError, UnicodeDecodeError) as error:
        return Err(MalformedMessageError("bad_coap", repr(error)))


def _opaque_option(number: OptionNumber, value: bytes) -> OpaqueOption:
    return OpaqueOption(number, value)


def _read_option(message: Message, number: OptionNumber) -> bytes | None:
    options = message.opt.get_option(number)
    return options[0].value if options else None


def decode_request(
    data: bytes, caller: Endpoint, address: Endpoint
) -> Result[Request | CancelMessage | EmptyMessage, MalformedMessageError]:
    """Decode a caller's message to an address for requests."""
    decoded = decode_message(data)
    if isinstance(decoded, Err):
        return decoded
    message = decoded.ok_value
    if message.mtype is types.RST:
        return Ok(CancelMessage(message.mid))
    if message.code is codes.EMPTY:
        return Ok(EmptyMessage(message.mid, message.mtype is types.ACK))
    if not message.code.is_request():
        return Err(MalformedMessageError("not_a_request", str(message.code)))
    method = message.code.name
    return Ok(
        Request(
            caller=caller,
            address=address,
            token=message.token,
            message_id=message.mid,
            method=method,
            path="/" + "/".join(message.opt.uri_path),
            payload=message.payload,
            idempotent=method in IDEMPOTENT_METHODS,
            confirmable=message.mtype is types.CON,
            run_token=message.opt.echo,
            datagram=data,
        )
    )


def decode_flow_packet(data: bytes, caller: Endpoint, address: Endpoint) -> FlowPacket:
    """Decode a datagram of a flow; one that is no CoAP request opens no flow.

    A registration (RFC 7641) without an Echo option opens a flow.
    """
    decoded = decode_message(data)
    if isinstance(decoded, Err) or not decoded.ok_value.code.is_request():
        return FlowPacket(caller, address, data, opens_flow=False)
    message = decoded.ok_value
    handle = message.opt.echo
    opens_flow = handle is None and message.opt.observe == OBSERVE_REGISTER
    return FlowPacket(caller, address, data, opens_flow, message.token, handle)


def add_flow_handle(data: bytes, make_handle: Any) -> bytes:
    """Add a flow handle made from the token to a server's CoAP response.

    Other datagrams, and responses without a handle, are returned unchanged.
    """
    decoded = decode_message(data)
    if isinstance(decoded, Err) or not decoded.ok_value.code.is_response():
        return data
    message = decoded.ok_value
    handle = make_handle(message.token)
    if handle is None:
        return data
    message.opt.echo = handle
    message.direction = Direction.OUTGOING
    return message.encode()


def encode_request(
    request: Request,
    service: str,
    token: bytes,
    message_id: int,
    deadline_seconds: float,
) -> bytes:
    """Encode a request to a backend server with the time left for it."""
    message = Message(
        code=getattr(codes, request.method),
        mtype=types.NON,
        mid=message_id,
        token=token,
        payload=request.payload,
    )
    message.opt.uri_host = service
    message.opt.uri_path = tuple(part for part in request.path.split("/") if part)
    milliseconds = max(0, int(deadline_seconds * 1000))
    message.opt.add_option(
        _opaque_option(DEADLINE_OPTION, milliseconds.to_bytes(4, "big"))
    )
    return message.encode()


def encode_cancel(message_id: int) -> bytes:
    """Encode a reset message."""
    return Message(code=codes.EMPTY, mtype=types.RST, mid=message_id).encode()


def encode_acknowledgement(message_id: int) -> bytes:
    """Encode an empty acknowledgement (RFC 7252, section 5.2.2)."""
    return Message(code=codes.EMPTY, mtype=types.ACK, mid=message_id).encode()


def encode_answer(request: Request, answer: Answer, message_id: int) -> bytes:
    """Encode the answer to a request for its caller."""
    if answer.status is AnswerStatus.OK:
        code = getattr(codes, answer.code or "CONTENT")
    else:
        code = _CODE_BY_STATUS[answer.status]
    message = Message(code=code, mtype=types.NON, mid=message_id, token=request.token)
    message.payload = answer.payload or answer.reason.encode()
    if answer.retry_after is not None:
        message.opt.max_age = max(1, math.ceil(answer.retry_after))
    if answer.run_token is not None:
        message.opt.echo = answer.run_token
    return message.encode()


def _server_outcome(code: Any) -> DispatchOutcome:
    if code is codes.SERVICE_UNAVAILABLE:
        return DispatchOutcome.REFUSED
    if code.is_successful() or 128 <= int(code) < 160:
        return DispatchOutcome.ANSWERED
    return DispatchOutcome.FAILED


def decode_server_message(
    data: bytes,
) -> Result[ServerMessage | EmptyMessage, MalformedMessageError]:
    """Decode a backend server's message that belongs to an exchange."""
    decoded = decode_message(data)
    if isinstance(decoded, Err):
        return decoded
    message = decoded.ok_value
    if message.code is codes.EMPTY:
        return Ok(EmptyMessage(message.mid, message.mtype is types.ACK))
    if not message.code.is_response():
        return Err(MalformedMessageError("not_a_response", str(message.code)))
    load = _read_option(message, LOAD_OPTION)
    is_refusal = message.code is codes.SERVICE_UNAVAILABLE
    answer = ServerAnswer(
        outcome=_server_outcome(message.code),
        payload=message.payload,
        code=message.code.name,
        reason=message.payload.decode(errors="replace") if is_refusal else "",
        retry_after=message.opt.max_age if is_refusal else None,
        load=load[0] / 100 if load else None,
    )
    return Ok(ServerMessage(message.token, answer))
