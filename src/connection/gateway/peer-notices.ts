/** Carries placement notices between routers: one small HTTP request for each notice and router, with a JSON body. */
import {
    createServer,
    type IncomingMessage,
    request as sendRequest,
    type Server,
    type ServerResponse,
} from "node:http";
import * as z from "zod/mini";
import type { Logger } from "../../common/logger.js";
import type { NoticeSender, PlacementNotice } from "../../domain/gateway/placement-notice.js";

const noticePath = "/placement-notice";
/** A router that does not take a notice within this time gets the next one. */
const timeoutMilliseconds = 500;
/** A notice has some 100 bytes for each server. */
const maximumNoticeBytes = 1_000_000;

const noticeSchema = z.object({
    sender: z.string(),
    servers: z.array(z.object({
        id: z.string(),
        bornAt: z.optional(z.number()),
        layers: z.optional(z.object({ first: z.number(), last: z.number() })),
        lost: z.boolean(),
    })),
});

export class HttpNoticeSender implements NoticeSender {
    private failures = 0;

    constructor(private readonly addresses: () => readonly string[], private readonly logger: Logger) {}

    send(notice: PlacementNotice): void {
        const body = Buffer.from(JSON.stringify(notice));
        this.addresses().forEach(address => this.sendTo(address, body));
    }

    private sendTo(address: string, body: Buffer): void {
        const [host, port] = address.split(":");
        const request = sendRequest({
            agent: false,
            host,
            port,
            method: "POST",
            path: noticePath,
            timeout: timeoutMilliseconds,
            headers: { "content-type": "application/json", "content-length": String(body.length) },
        });
        request.on("timeout", () => request.destroy());
        request.on("response", response => response.resume());
        request.on("error", error => {
            this.failures++;
            this.logger.debug("a router did not take a notice", {
                address,
                failures: this.failures,
                error: error.message,
            });
        });
        request.end(body);
    }
}

/** Takes notices of other routers. */
export function createNoticeServer(receive: (notice: PlacementNotice) => void, logger: Logger): Server {
    return createServer((message, response) => {
        readNotice(message).then(notice => {
            receive(notice as PlacementNotice);
            answer(response, 204);
        }, (error: unknown) => {
            logger.warn("a notice could not be read", { error: String(error) });
            answer(response, 400);
        });
    });
}

async function readNotice(message: IncomingMessage): Promise<z.infer<typeof noticeSchema>> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of message) {
        bytes += (chunk as Buffer).length;
        if (bytes <= maximumNoticeBytes) {
            chunks.push(chunk as Buffer);
        }
    }
    return noticeSchema.parse(JSON.parse(Buffer.concat(chunks).toString("utf8")));
}

function answer(response: ServerResponse, status: number): void {
    response.writeHead(status, { "Content-Length": "0" });
    response.end();
}
