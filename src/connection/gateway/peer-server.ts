/** Serves the other routers: takes placement notices, and gives what this router knows of the platform's store. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Logger } from "../../common/logger.js";
import type { PlacementNotice } from "../../domain/gateway/placement-notice.js";
import type { StoreSnapshot } from "../../domain/gateway/store-snapshot.js";
import { noticePath, noticeSchema } from "./peer-notices.js";
import { afterParameter, encodeSnapshot, snapshotPath } from "./peer-snapshots.js";

/** A notice has some 100 bytes for each server. */
const maximumNoticeBytes = 1_000_000;

export interface PeerServerParts {
    receiveNotice(notice: PlacementNotice): void;
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
        parts.receiveNotice(noticeSchema.parse(JSON.parse(await readText(message))) as PlacementNotice);
        answer(response, 204);
    }
    catch (error) {
        parts.logger.warn("a notice could not be read", { error: String(error) });
        answer(response, 400);
    }
}

function giveSnapshot(afterRevision: number, response: ServerResponse, parts: PeerServerParts): void {
    const snapshot = parts.snapshotAfter(afterRevision);
    if (snapshot === undefined) {
        answer(response, 204);
        return;
    }
    const body = encodeSnapshot(snapshot);
    response.writeHead(200, { "Content-Type": "application/json", "Content-Length": String(body.length) });
    response.end(body);
}

async function readText(message: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of message) {
        bytes += (chunk as Buffer).length;
        if (bytes <= maximumNoticeBytes) {
            chunks.push(chunk as Buffer);
        }
    }
    return Buffer.concat(chunks).toString("utf8");
}

function answer(response: ServerResponse, status: number): void {
    response.writeHead(status, { "Content-Length": "0" });
    response.end();
}
