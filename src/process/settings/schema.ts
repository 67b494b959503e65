/**
 * The schema of a router's settings: what a process must know before it can reach anything else. Everything that may
 * change while it runs is in the sheet instead.
 */
import { z } from "zod";
import { LogFormat, LogLevel, type LogLevelName } from "../../common/logger.js";

const maximumPort = 65_535;
const hashPattern = /^[0-9a-f]{64}$/;

const host = z.string().min(1);
const port = z.int().min(0).max(maximumPort);
const milliseconds = z.int().min(1);
const url = z.url({ protocol: /^https?$/ });

const tls = z.strictObject({
    certificateFile: z.string().min(1).describe("PEM file with this process's certificate chain."),
    keyFile: z.string().min(1).describe("PEM file with the private key of the certificate."),
    authorityFile: z.string().min(1).describe(
        "PEM file with the authorities that the other side's certificate must come from.",
    ),
}).describe("Certificates. Files are read again when their content changes, without a restart.");

const serverTls = z.strictObject({
    certificateFile: z.string().min(1).describe("PEM file with the certificate chain that callers see."),
    keyFile: z.string().min(1).describe("PEM file with the private key of the certificate."),
}).describe("Certificate for callers, read at the start.");

const router = z.strictObject({
    id: z.string().min(1).max(64).describe("Name of this router; it must be unique in the fleet."),
    region: z.string().min(1).describe("Region that this VM stands in."),
    availabilityZone: z.string().min(1).describe("Availability zone that this VM stands in."),
}).describe("Who this router is and where it stands.");

const callers = z.strictObject({
    host: host.default("127.0.0.1").describe("IP number that callers connect to."),
    port: port.default(8080).describe("TCP port that callers connect to; 0 picks a free one."),
    maximumBodyBytes: z.int().min(1024).default(4_194_304).describe("Largest request body, in bytes."),
    headersTimeoutMilliseconds: milliseconds.default(10_000).describe("Time in which a caller must send its headers."),
    bodyTimeoutMilliseconds: milliseconds.default(30_000).describe("Time in which a caller must send its whole body."),
    maximumConnections: z.int().min(1).default(20_000).describe("Open connections from callers at the same time."),
    maximumTimeoutMilliseconds: milliseconds.default(600_000).describe("Longest deadline that a caller may ask for."),
    tls: serverTls.optional().describe("Certificate, if this process ends TLS itself. The balancer does otherwise."),
}).describe("The interface for callers.");

const operators = z.strictObject({
    host: host.default("127.0.0.1").describe("IP number that operators' commands connect to."),
    port: port.default(8081).describe("TCP port for operators' commands; 0 picks a free one."),
    credentialHash: z.string().regex(hashPattern).optional().describe(
        "SHA-256 in hexadecimal of the operators' credential. Without it, only calls from loopback are answered.",
    ),
}).describe("The interface for operators.");

const peers = z.strictObject({
    host: host.default("127.0.0.1").describe("IP number that other routers connect to."),
    port: port.default(8082).describe("TCP port for other routers; 0 picks a free one."),
    seeds: z.array(url).default([]).describe("Peer addresses of some routers, used beside the platform's list of VMs."),
    tls: tls.optional().describe(
        "Certificates for both directions. Without them the peers talk in plain text, for loopback only.",
    ),
}).describe("The interface between routers.");

const platform = z.strictObject({
    keyValueAddresses: z.array(url).min(1).describe("Base URLs of the platform's key-value service."),
    vmListAddresses: z.array(url).min(1).describe("Base URLs of the platform's list of VMs."),
    timeoutMilliseconds: milliseconds.default(1000).describe("Time that one call to the platform may take."),
}).describe("The platform's services.");

const backendServers = z.strictObject({
    silenceMilliseconds: milliseconds.default(1000).describe(
        "A connection with work outstanding is given up after this time without a frame or heartbeat.",
    ),
    connectTimeoutMilliseconds: milliseconds.default(500).describe("Time in which a connection must open."),
    orderCredentialFile: z.string().min(1).optional().describe(
        "File with the credential for orders to backend servers that check it.",
    ),
}).describe("Links to backend servers.");

const drain = z.strictObject({
    balancerDelayMilliseconds: z.int().min(0).default(2000).describe(
        "Time between reporting not ready and refusing new work, so that the balancer can notice.",
    ),
    timeoutMilliseconds: milliseconds.default(120_000).describe(
        "Longest time that requests in flight may take to finish.",
    ),
}).describe("Graceful shutdown.");

const placement = z.strictObject({
    enabled: z.boolean().default(true).describe(
        "Whether this router may hold the placement lease and order backend servers to load layers.",
    ),
}).describe("Placement of models on backend servers.");

const logs = z.strictObject({
    format: z.enum(Object.values(LogFormat)).default(LogFormat.json).describe(
        "'json' for production, 'pretty' for a terminal.",
    ),
    level: z.enum(Object.keys(LogLevel) as [LogLevelName, ...LogLevelName[]]).default("info").describe(
        "Least level that is written.",
    ),
}).describe("Logs, on standard error.");

const metrics = z.strictObject({
    host: host.default("127.0.0.1").describe("IP number of the StatsD server."),
    port: port.default(8125).describe("UDP port of the StatsD server."),
}).describe("Metrics over StatsD. Without this object no metrics are sent.");

/** The whole settings file. */
export const routerSettingsSchema = z.strictObject({
    router,
    callers: callers.prefault({}),
    operators: operators.prefault({}),
    peers: peers.prefault({}),
    platform,
    backendServers: backendServers.prefault({}),
    placement: placement.prefault({}),
    drain: drain.prefault({}),
    logs: logs.prefault({}),
    metrics: metrics.optional(),
});

export type RouterSettings = z.infer<typeof routerSettingsSchema>;
export type RouterSettingsInput = z.input<typeof routerSettingsSchema>;
export type TlsSettings = z.infer<typeof tls>;
