/** Sends placement notices to other routers: one HTTP request with a JSON body for each notice and router. */
import { request as sendRequest } from "node:http";
import * as z from "zod/mini";
import type { Logger } from "../../common/logger.js";
import type {
    LoadListener,
    NoticeSender,
    PlacementNotice,
    ServerLoads,
} from "../../domain/gateway/placement-notice.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import { readBodyText } from "./read-body-text.js";

export const noticePath = "/placement-notice";
/** A notice that times out is not sent again; the next notice replaces it. */
const timeoutMilliseconds = 500;

/** Request count and token count, keyed by the ID of the backend server. */
const loadsSchema = z.record(z.string(), z.tuple([z.number(), z.number()]));

const noticeSchema = z.object({
    sender: z.string(),
    servers: z.array(z.object({
        id: z.string(),
        bornAt: z.optional(z.number()),
        layers: z.optional(z.object({ first: z.number(), last: z.number() })),
        lost: z.boolean(),
    })),
    otherLoads: loadsSchema,
});

export function encodeNotice({ sender, servers, otherLoads }: PlacementNotice): Buffer {
    return Buffer.from(JSON.stringify({ sender, servers, otherLoads: formatLoads(otherLoads) }));
}

/** Throws if the text is not a valid placement notice. */
export function decodeNotice(text: string): PlacementNotice {
    const { sender, servers, otherLoads } = noticeSchema.parse(JSON.parse(text));
    return {
        sender,
        servers: servers.map(({ id, bornAt, layers, lost }) => ({ id, bornAt, layers, lost })),
        otherLoads: parseLoads(otherLoads),
    };
}

export function encodeLoads(loads: ServerLoads): Buffer {
    return Buffer.from(JSON.stringify(formatLoads(loads)));
}

export class HttpNoticeSender implements NoticeSender {
    private failures = 0;

    constructor(private readonly routers: () => readonly SocketAddress[], private readonly logger: Logger) {}

    send(createNotice: (router: SocketAddress) => PlacementNotice, onLoads: LoadListener): void {
        this.routers().forEach(router => this.sendTo(router, encodeNotice(createNotice(router)), onLoads));
    }

    private sendTo(router: SocketAddress, body: Buffer, onLoads: LoadListener): void {
        const request = sendRequest({
            agent: false,
            host: router.host,
            port: router.port,
            method: "POST",
            path: noticePath,
            timeout: timeoutMilliseconds,
            headers: { "content-type": "application/json", "content-length": String(body.length) },
        });
        const fail = (error: unknown) => {
            this.failures++;
            this.logger.debug("placement notice to a router failed; the next notice replaces it", {
                router: formatSocketAddress(router),
                failures: this.failures,
                error: String(error),
            });
        };
        request.on("timeout", () => request.destroy());
        request.on("response", response => {
            readBodyText(response)
                .then(text => onLoads(router, parseLoads(loadsSchema.parse(JSON.parse(text)))))
                .catch(fail);
        });
        request.on("error", fail);
        request.end(body);
    }
}

function formatLoads(loads: ServerLoads): Record<string, [number, number]> {
    return Object.fromEntries([...loads].map(([id, { requests, tokens }]) => [id, [requests, tokens]]));
}

function parseLoads(loads: z.infer<typeof loadsSchema>): ServerLoads {
    return new Map(Object.entries(loads).map(([id, [requests, tokens]]) => [id, { requests, tokens }]));
}
