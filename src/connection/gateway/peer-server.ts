/** Serves the other routers: takes placement notices and the leadership of placement, and gives what this router knows of the platform's store. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Logger } from "../../common/logger.js";
import type { LeadershipOffer } from "../../domain/gateway/leadership-offer.js";
import type { PlacementNotice, ServerLoads } from "../../domain/gateway/placement-notice.js";
import type { StoreSnapshot } from "../../domain/gateway/store-snapshot.js";
import { decodeOffer, offerPath } from "./peer-leadership.js";
import { decodeNotice, encodeLoads, noticePath } from "./peer-notices.js";
import { afterParameter, encodeSnapshot, snapshotPath } from "./peer-snapshots.js";
import { readText } from "./read-text.js";

export interface PeerServerParts {
    /** Takes a notice and gives what this router has running. */
    receiveNotice(notice: PlacementNotice): ServerLoads;
    /** Whether this router takes the leadership over. */
    takeLeadership(offer: LeadershipOffer): boolean;
    /** Undefined if this router knows nothing newer than the revision. */
    snapshotAfter(revision: number): StoreSnapshot | undefined;
    readonly logger: Logger;
}

export function createPeerServer(parts: PeerServerParts): Server {
    return createServer((message, response) => {
        const url = new URL(message.url ?? "/", "http://router");
        if (message.method === "POST" && url.pathname === noticePath) {
            void takeNotice(message, response, parts);
        }
        else if (message.method === "POST" && url.pathname === offerPath) {
            void takeOffer(message, response, parts);
        }
        else if (message.method === "GET" && url.pathname === snapshotPath) {
            giveSnapshot(Number(url.searchParams.get(afterParameter) ?? 0), response, parts);
        }
        else {
            answer(response, 404);
        }
    });
}

async function takeNotice(message: IncomingMessage, response: ServerResponse, parts: PeerServerParts): Promise<void> {
    try {
        const notice = decodeNotice(await readText(message));
        answerJson(response, encodeLoads(parts.receiveNotice(notice)));
    }
    catch (error) {
        parts.logger.warn("a notice could not be read", { error: String(error) });
        answer(response, 400);
    }
}

async function takeOffer(message: IncomingMessage, response: ServerResponse, parts: PeerServerParts): Promise<void> {
    try {
        answer(response, parts.takeLeadership(decodeOffer(await readText(message))) ? 204 : 409);
    }
    catch (error) {
        parts.logger.warn("an offer of leadership could not be read", { error: String(error) });
        answer(response, 400);
    }
}

function giveSnapshot(afterRevision: number, response: ServerResponse, parts: PeerServerParts): void {
    const snapshot = parts.snapshotAfter(afterRevision);
    if (snapshot === undefined) {
        answer(response, 204);
        return;
    }
    answerJson(response, encodeSnapshot(snapshot));
}

function answerJson(response: ServerResponse, body: Buffer): void {
    response.writeHead(200, { "Content-Type": "application/json", "Content-Length": String(body.length) });
    response.end(body);
}

function answer(response: ServerResponse, status: number): void {
    response.writeHead(status, { "Content-Length": "0" });
    response.end();
}
