/** Reads the certificate that callers see. */
import { readTextFile } from "../common/read-text-file.js";
import type { ListenerCertificates } from "../process/http/http-listener.js";

export interface ListenerCertificateFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
}

/** Rejects with an UnreadableFileError. */
export async function readListenerCertificates(files: ListenerCertificateFiles): Promise<ListenerCertificates> {
    const [certificate, key] = await Promise.all([readTextFile(files.certificateFile), readTextFile(files.keyFile)]);
    return { certificate, key };
}
