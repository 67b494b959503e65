/** Errors of calls between routers. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const peerUnreachableDefinition = defineError({
    code: "peer-unreachable",
    title: "Another router did not answer",
    hint: "The router tries again by itself. If it lasts, check the peers' addresses and certificates in the settings.",
});

/** A call to another router failed or had no answer in time. */
export class PeerUnreachableError extends PomelostallError {
    constructor(address: string, cause?: unknown) {
        super(peerUnreachableDefinition, `The router at ${address} did not answer.`, { cause });
    }
}

const peerPlaintextDefinition = defineError({
    code: "peer-plaintext",
    title: "Peers may talk in plain text on loopback only",
    hint: "Set peers.tls in the settings, or bind peers.host to a loopback address.",
});

/** The settings give an address off loopback and no certificates. */
export class PeerPlaintextError extends PomelostallError {
    constructor(host: string) {
        super(peerPlaintextDefinition, `Without certificates the peer interface cannot listen on ${host}.`);
    }
}

const certificateDefinition = defineError({
    code: "certificate-unreadable",
    title: "A certificate file cannot be used",
    hint: "Check that the file exists, is in PEM form and belongs to its key. The certificates in use stay in use.",
});

/** A certificate, key or authority file is missing or malformed. */
export class CertificateError extends PomelostallError {
    constructor(cause: unknown) {
        super(certificateDefinition, `The peers' certificates cannot be used: ${String(cause)}.`, { cause });
    }
}
