/**
 * HTTP server for other routers: receives placement notices and placement leadership offers, and serves snapshots of
 * this router's copy of the platform's store.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createContainedServer } from "../../common/contained-server.js";
import { readPendingInput } from "../../common/event-loop.js";
import type { FailureReporter } from "../../common/failure-boundary.js";
import type { Logger } from "../../common/logger.js";
import type { MemoryLedger } from "../../common/memory-ledger.js";
import { readBoundedText } from "../../common/read-bounded-text.js";
import type { PeerConfiguration } from "../../domain/gateway/configuration-source.js";
import type { FleetKnowledge } from "../../domain/gateway/fleet-knowledge.js";
import type { LeadershipOffer } from "../../domain/gateway/leadership-offer.js";
import type { PlacementNotice, RouterReport } from "../../domain/gateway/placement-notice.js";
import type { StorePosition } from "../../domain/gateway/store-position.js";
import type { StoreSnapshot } from "../../domain/gateway/store-snapshot.js";
import { maximumPeerMessageBytes } from "./peer-client.js";
import { afterVersionParameter, configurationPath, encodePeerConfiguration } from "./peer-configurations.js";
import { encodeKnowledge, knowledgePath } from "./peer-knowledge.js";
import { decodeOffer, offerPath } from "./peer-leadership.js";
import { decodeNotice, encodeReport, noticePath } from "./peer-notices.js";
import { afterEraParameter, afterRevisionParameter, encodeSnapshot, snapshotPath } from "./peer-snapshots.js";

export interface PeerServerOptions {
    /** Applies a notice; returns what this router itself runs and has sent. */
    receiveNotice(notice: PlacementNotice): RouterReport;
    /** Returns whether this router accepts the placement leadership. */
    acceptLeadership(offer: LeadershipOffer): boolean;
    /** Undefined if this router's copy of the store is not newer than the position. */
    snapshotAfter(position: StorePosition): StoreSnapshot | undefined;
    configurationAfter(version: number): PeerConfiguration;
    /** What this router knows of servers and prompts. */
    knowledge(): FleetKnowledge;
    readonly memory: MemoryLedger;
    readonly failures: FailureReporter;
    readonly logger: Logger;
}

export function createPeerServer(options: PeerServerOptions): Server {
    return createContainedServer("peer request", options.failures, (message, response) => {
        const [path, query] = (message.url ?? "/").split("?", 2);
        if (message.method === "POST" && path === noticePath) {
            return handleNotice(message, response, options);
        }
        if (message.method === "POST" && path === offerPath) {
            return handleLeadershipOffer(message, response, options);
        }
        if (message.method === "GET" && path === snapshotPath) {
            const parameters = new URLSearchParams(query);
            const readNumber = (name: string) => Number(parameters.get(name) ?? 0) || 0;
            const after = { era: readNumber(afterEraParameter), revision: readNumber(afterRevisionParameter) };
            return sendSnapshot(after, response, options);
        }
        if (message.method === "GET" && path === configurationPath) {
            const afterVersion = Number(new URLSearchParams(query).get(afterVersionParameter) ?? 0) || 0;
            return sendJson(response, encodePeerConfiguration(options.configurationAfter(afterVersion)));
        }
        if (message.method === "GET" && path === knowledgePath) {
            return sendJson(response, encodeKnowledge(options.knowledge()));
        }
        return sendStatus(response, 404);
    });
}

async function handleNotice(
    message: IncomingMessage,
    response: ServerResponse,
    options: PeerServerOptions,
): Promise<void> {
    try {
        const notice = decodeNotice(await readMessage(message, options));
        // A router that was paused reads notices whose sender has given up long ago; what they grant has run out.
        await readPendingInput();
        if (message.socket.destroyed || message.socket.readableEnded) {
            options.logger.info("placement notice read too late; its sender no longer waits", {
                sender: notice.sender,
            });
            return;
        }
        sendJson(response, encodeReport(options.receiveNotice(notice)));
    }
    catch (error) {
        options.logger.warn("placement notice from a router is invalid; responding with 400", { error: String(error) });
        sendStatus(response, 400);
    }
}

async function handleLeadershipOffer(
    message: IncomingMessage,
    response: ServerResponse,
    options: PeerServerOptions,
): Promise<void> {
    try {
        sendStatus(
            response,
            options.acceptLeadership(decodeOffer(await readMessage(message, options))) ? 204 : 409,
        );
    }
    catch (error) {
        options.logger.warn("placement leadership offer from a router is invalid; responding with 400", {
            error: String(error),
        });
        sendStatus(response, 400);
    }
}

/** Rejects with ResponseTooLargeError, MemoryShortageError or the error of the connection. */
async function readMessage(message: IncomingMessage, { memory }: PeerServerOptions): Promise<string> {
    const account = memory.open({
        kind: "peer message",
        owner: `${message.socket.remoteAddress}`,
        essential: true,
        end: () => message.destroy(),
    });
    try {
        return await readBoundedText(message, maximumPeerMessageBytes, account);
    }
    finally {
        account.close();
    }
}

function sendSnapshot(after: StorePosition, response: ServerResponse, options: PeerServerOptions): void {
    const snapshot = options.snapshotAfter(after);
    if (snapshot === undefined) {
        sendStatus(response, 204);
        return;
    }
    sendJson(response, encodeSnapshot(snapshot));
}

function sendJson(response: ServerResponse, body: Buffer): void {
    response.writeHead(200, { "Content-Type": "application/json", "Content-Length": String(body.length) });
    response.end(body);
}

function sendStatus(response: ServerResponse, status: number): void {
    response.writeHead(status, { "Content-Length": "0" });
    response.end();
}
