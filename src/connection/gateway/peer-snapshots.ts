/** Reads other routers' snapshots of the platform's store: JSON over HTTP, with values encoded as base64. */
import * as z from "zod/mini";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import type { StorePosition } from "../../domain/gateway/store-position.js";
import type { SnapshotSource, StoreSnapshot } from "../../domain/gateway/store-snapshot.js";
import { PeerUnreachableError } from "../../errors/index.js";
import type { PeerClient } from "./peer-client.js";
import { parsePeerMessage, wholeNumber } from "./peer-messages.js";

export const snapshotPath = "/store-snapshot";
export const afterRevisionParameter = "after";
export const afterEraParameter = "era";
/** After this time the request fails; the next attempt may be sent to another router. */
const timeoutMilliseconds = 500;
const httpStatus = { ok: 200, noContent: 204 } as const;

const snapshotSchema = z.object({
    storeRevision: wholeNumber(),
    era: z._default(wholeNumber(), 0),
    items: z.array(z.object({ key: z.string(), value: z.string(), revision: wholeNumber() })),
});

/** All items of a snapshot are of its era. */
export function encodeSnapshot({ position, items }: StoreSnapshot): Buffer {
    return Buffer.from(JSON.stringify({
        storeRevision: position.revision,
        era: position.era,
        items: items.map(({ key, value, position: { revision } }) => ({
            key,
            value: value.toString("base64"),
            revision,
        })),
    }));
}

/** Throws InvalidPeerMessageError if the text is not a valid snapshot. */
export function decodeSnapshot(text: string): StoreSnapshot {
    const { storeRevision, era, items } = parsePeerMessage("store snapshot", snapshotSchema, text);
    return {
        position: { era, revision: storeRevision },
        items: items.map(({ key, value, revision }) => ({
            key,
            position: { era, revision },
            value: Buffer.from(value, "base64"),
        })),
    };
}

export class HttpSnapshotSource implements SnapshotSource {
    constructor(private readonly client: PeerClient) {}

    async readSnapshot(router: SocketAddress, after: StorePosition): Promise<StoreSnapshot | undefined> {
        const query = new URLSearchParams({
            [afterRevisionParameter]: String(after.revision),
            [afterEraParameter]: String(after.era),
        });
        const response = await this.client.send(router, {
            method: "GET",
            path: `${snapshotPath}?${query.toString()}`,
            timeoutMilliseconds,
        });
        if (response.status === httpStatus.noContent) {
            return undefined;
        }
        if (response.status !== httpStatus.ok) {
            const address = formatSocketAddress(router);
            throw new PeerUnreachableError(address, `unexpected HTTP status ${response.status}`);
        }
        return decodeSnapshot(response.text);
    }
}
