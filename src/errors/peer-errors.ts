/** Errors of calls between routers. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const peerUnreachableDefinition = defineError({
    code: "peer-unreachable",
    title: "Another router did not respond",
    hint: "The router retries automatically. If the error persists, check the peers' addresses and certificates.",
});

/** A call to another router failed or timed out. */
export class PeerUnreachableError extends PomelostallError {
    /** `router` is the router's address or, if it has none, its ID. */
    constructor(router: string, cause?: unknown) {
        super(peerUnreachableDefinition, `The call to router ${router} failed or timed out.`, { cause });
    }
}

const peerPlaintextDefinition = defineError({
    code: "peer-plaintext",
    title: "The peer interface allows unencrypted connections on loopback only",
    hint: "Set peers.tls in the settings, or set peers.host to a loopback address.",
});

/** The settings give the peer interface a non-loopback address but no certificates. */
export class PeerPlaintextError extends PomelostallError {
    constructor(host: string) {
        super(peerPlaintextDefinition, `The peer interface cannot listen on ${host} without certificates.`);
    }
}

const certificateUnreadableDefinition = defineError({
    code: "certificate-unreadable",
    title: "A certificate file cannot be used",
    hint: "Check that the file exists, is in PEM format and matches its key. Certificates loaded before stay in use.",
});

/** A certificate, key or authority file is missing or malformed, or the certificate does not match the key. */
export class CertificateError extends PomelostallError {
    constructor(cause: unknown) {
        super(
            certificateUnreadableDefinition,
            `The certificates for peer connections cannot be loaded: ${String(cause)}.`,
            { cause },
        );
    }
}

const invalidPeerMessageDefinition = defineError({
    code: "invalid-peer-message",
    title: "Another router sent an invalid message",
    hint:
        "The router ignores the message. If it happens again, check whether the log line's router has the same version.",
});

/** A message of another router is not JSON, or does not match the schema of its kind. */
export class InvalidPeerMessageError extends PomelostallError {
    constructor(kind: string, cause: unknown) {
        super(invalidPeerMessageDefinition, `The ${kind} is invalid: ${String(cause)}.`, { cause });
    }
}
