package cas

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	bspb "google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// Client is a client of a content-addressable store. Calls are retried up to maxRetries times while the store is
// busy or unreachable, and end with their context.
type Client struct {
	Instance string
	blobs    repb.ContentAddressableStorageClient
	results  repb.ActionCacheClient
	stream   bspb.ByteStreamClient
	conn     *grpc.ClientConn
}

// Dial returns a client of the store at an address. It connects on the first call.
func Dial(addr, instance string) (*Client, error) {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(16<<20)))
	if err != nil {
		return nil, fmt.Errorf("dial store %s: %w", addr, err)
	}
	return &Client{instance, repb.NewContentAddressableStorageClient(conn), repb.NewActionCacheClient(conn), bspb.NewByteStreamClient(conn), conn}, nil
}

// Close closes the connection to the store.
func (c *Client) Close() error { return c.conn.Close() }

// A call is retried at most maxRetries times. The delay starts at initialRetryDelay and doubles with each retry.
const (
	maxRetries        = 6
	initialRetryDelay = 100 * time.Millisecond
)

// Retry makes a call and retries it with exponential backoff and jitter while the server is busy or unreachable.
func Retry(ctx context.Context, call func() error) error {
	for attempt := 0; ; attempt++ {
		err := call()
		switch status.Code(err) {
		case codes.Unavailable, codes.ResourceExhausted, codes.Aborted:
		default:
			return err
		}
		if attempt == maxRetries {
			return err
		}
		wait := initialRetryDelay << attempt
		t := time.NewTimer(wait/2 + time.Duration(rand.Int64N(int64(wait))))
		select {
		case <-ctx.Done():
			t.Stop()
			return errors.Join(ctx.Err(), err)
		case <-t.C:
		}
	}
}

// maxDigestsPerRequest bounds the number of digests in one FindMissingBlobs request, because the size of a message is
// bounded.
const maxDigestsPerRequest = 10_000

// Missing returns the digests whose blobs are not in the store. The store records a use of each of the others.
func (c *Client) Missing(ctx context.Context, digests []Digest) ([]Digest, error) {
	var missing []Digest
	for len(digests) > 0 {
		n := min(len(digests), maxDigestsPerRequest)
		req := &repb.FindMissingBlobsRequest{InstanceName: c.Instance, DigestFunction: digests[0].Function}
		for _, digest := range digests[:n] {
			req.BlobDigests = append(req.BlobDigests, digest.Proto())
		}
		var resp *repb.FindMissingBlobsResponse
		err := Retry(ctx, func() (err error) { resp, err = c.blobs.FindMissingBlobs(ctx, req); return err })
		if err != nil {
			return nil, err
		}
		for _, p := range resp.MissingBlobDigests {
			missing = append(missing, Digest{digests[0].Function, p.Hash, p.SizeBytes})
		}
		digests = digests[n:]
	}
	return missing, nil
}

// Get reads a whole blob and verifies its digest.
func (c *Client) Get(ctx context.Context, digest Digest) ([]byte, error) {
	var out bytes.Buffer
	if err := c.Read(ctx, digest, &out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// ErrMalformed means that a blob does not hold a message of the expected type.
var ErrMalformed = errors.New("malformed message")

// Message reads and decodes a blob that holds a message of the API.
func (c *Client) Message(ctx context.Context, digest Digest, m proto.Message) error {
	if digest.Size > maxMessageBytes {
		return fmt.Errorf("%w: %v has more than %d bytes", ErrMalformed, digest, maxMessageBytes)
	}
	raw, err := c.Get(ctx, digest)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(raw, m); err != nil {
		return fmt.Errorf("%w: %v is not a %s: %w", ErrMalformed, digest, m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// Read copies a blob to w and verifies its digest. After an error the data written to w must be discarded. An
// interrupted read is resumed.
func (c *Client) Read(ctx context.Context, digest Digest, w io.Writer) error {
	h, err := newHash(digest.Function)
	if err != nil || digest.Empty() {
		return err
	}
	offset := int64(0)
	err = Retry(ctx, func() error {
		stream, err := c.stream.Read(ctx, &bspb.ReadRequest{ResourceName: Resource{Instance: c.Instance, Digest: digest}.Name(), ReadOffset: offset})
		for err == nil {
			var msg *bspb.ReadResponse
			if msg, err = stream.Recv(); err != nil {
				break
			}
			offset += int64(len(msg.Data))
			_, _ = h.Write(msg.Data)
			_, err = w.Write(msg.Data)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("reading %v: %w", digest, err)
	}
	if got := fmt.Sprintf("%x", h.Sum(nil)); offset != digest.Size || got != digest.Hash {
		return fmt.Errorf("reading %v: %w: got %s/%d", digest, ErrWrongContent, got, offset)
	}
	return nil
}

// Put stores a blob and returns its digest.
func (c *Client) Put(ctx context.Context, f DigestFunction, content []byte) (Digest, error) {
	digest := Sum(f, content)
	return digest, c.upload(ctx, digest, bytes.NewReader(content))
}

// PutMessage stores an encoded message as a blob.
func (c *Client) PutMessage(ctx context.Context, f DigestFunction, m proto.Message) (Digest, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return Digest{}, fmt.Errorf("encoding a %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return c.Put(ctx, f, raw)
}

// SumFile returns the digest of a file.
func SumFile(f DigestFunction, path string) (Digest, error) {
	h, err := newHash(f)
	if err != nil {
		return Digest{}, err
	}
	in, err := os.Open(path)
	if err != nil {
		return Digest{}, err
	}
	defer in.Close()
	n, err := io.Copy(h, in)
	return Digest{f, fmt.Sprintf("%x", h.Sum(nil)), n}, err
}

// PutFile stores the content of a file, whose digest the caller has computed.
func (c *Client) PutFile(ctx context.Context, digest Digest, path string) error {
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	return c.upload(ctx, digest, in)
}

// upload sends a blob. The empty blob is not sent, because it always exists. The store ends the call early if it
// already has the blob. An interrupted upload is resumed.
func (c *Client) upload(ctx context.Context, digest Digest, r io.ReadSeeker) error {
	if digest.Empty() {
		return nil
	}
	name := Resource{Instance: c.Instance, Upload: fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()), Digest: digest}.Name()
	offset, started := int64(0), false
	err := Retry(ctx, func() error {
		if started {
			st, err := c.stream.QueryWriteStatus(ctx, &bspb.QueryWriteStatusRequest{ResourceName: name})
			switch {
			case err == nil && st.Complete:
				return nil
			case err == nil:
				offset = st.CommittedSize
			case status.Code(err) == codes.NotFound:
				offset = 0
			default:
				return err
			}
		}
		started = true
		if _, err := r.Seek(offset, io.SeekStart); err != nil {
			return err
		}
		return c.send(ctx, name, digest.Size, offset, r)
	})
	if err != nil {
		return fmt.Errorf("writing %v: %w", digest, err)
	}
	return nil
}

// send makes one attempt to send a blob, starting at an offset.
func (c *Client) send(ctx context.Context, name string, size, offset int64, r io.Reader) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.stream.Write(ctx)
	if err != nil {
		return err
	}
	buf := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(r, buf[:min(int64(len(buf)), size-offset)])
		if err != nil && offset+int64(n) < size {
			return fmt.Errorf("the content ended after %d bytes: %w", offset+int64(n), err)
		}
		msg := &bspb.WriteRequest{ResourceName: name, WriteOffset: offset, Data: buf[:n], FinishWrite: offset+int64(n) == size}
		offset += int64(n)
		if err := stream.Send(msg); err != nil || msg.FinishWrite {
			break // CloseAndRecv returns the server's error
		}
	}
	resp, err := stream.CloseAndRecv()
	if err == nil && resp.CommittedSize != size {
		err = fmt.Errorf("the store committed %d of %d bytes", resp.CommittedSize, size)
	}
	return err
}

// Result returns the result of an action.
func (c *Client) Result(ctx context.Context, action Digest) (r *repb.ActionResult, err error) {
	err = Retry(ctx, func() (err error) {
		r, err = c.results.GetActionResult(ctx, &repb.GetActionResultRequest{InstanceName: c.Instance, ActionDigest: action.Proto(), DigestFunction: action.Function})
		return err
	})
	return r, err
}

// PutResult stores the result of an action. The store rejects it unless all its outputs are in the store.
func (c *Client) PutResult(ctx context.Context, action Digest, r *repb.ActionResult) error {
	err := Retry(ctx, func() error {
		_, err := c.results.UpdateActionResult(ctx, &repb.UpdateActionResultRequest{InstanceName: c.Instance, ActionDigest: action.Proto(), ActionResult: r, DigestFunction: action.Function})
		return err
	})
	if err != nil {
		return fmt.Errorf("writing the result of %v: %w", action, err)
	}
	return nil
}

// Tree returns all directories of an input tree by digest. The store records a use of every directory and file in
// the tree.
func (c *Client) Tree(ctx context.Context, root Digest) (dirs map[Digest]*repb.Directory, err error) {
	err = Retry(ctx, func() error {
		dirs = make(map[Digest]*repb.Directory)
		stream, err := c.blobs.GetTree(ctx, &repb.GetTreeRequest{InstanceName: c.Instance, RootDigest: root.Proto(), DigestFunction: root.Function})
		for err == nil {
			var page *repb.GetTreeResponse
			if page, err = stream.Recv(); err != nil {
				break
			}
			for _, dir := range page.Directories {
				raw, merr := proto.MarshalOptions{Deterministic: true}.Marshal(dir)
				if merr != nil {
					return merr
				}
				dirs[Sum(root.Function, raw)] = dir
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("reading the input tree %v: %w", root, err)
	}
	return dirs, nil
}

// ForInstance returns a client for another instance name that shares the connection.
func (c *Client) ForInstance(instance string) *Client {
	other := *c
	other.Instance = instance
	return &other
}

// Bounds of one BatchReadBlobs request of ReadMany.
const (
	maxBatchBytes = 2 << 20
	maxBatchBlobs = 1000
)

// ReadMany reads blobs of at most MaxBatchedBlob bytes each in batches, verifies each and passes it to take.
func (c *Client) ReadMany(ctx context.Context, digests []Digest, take func(Digest, []byte) error) error {
	for len(digests) > 0 {
		batch, err := nextBatch(digests)
		if err != nil {
			return err
		}
		if err := c.readBatch(ctx, batch, take); err != nil {
			return err
		}
		digests = digests[len(batch):]
	}
	return nil
}

// nextBatch returns the longest prefix of digests that fits into one batch.
func nextBatch(digests []Digest) ([]Digest, error) {
	count, size := 0, int64(0)
	for count < len(digests) && count < maxBatchBlobs && (count == 0 || size+digests[count].Size <= maxBatchBytes) {
		size += digests[count].Size
		count++
	}
	if size > maxBatchBytes {
		return nil, fmt.Errorf("%v: too large for a batch", digests[0])
	}
	return digests[:count], nil
}

// readBatch reads the blobs of one batch, verifies each and passes it to take.
func (c *Client) readBatch(ctx context.Context, batch []Digest, take func(Digest, []byte) error) error {
	req := &repb.BatchReadBlobsRequest{InstanceName: c.Instance, DigestFunction: batch[0].Function}
	for _, digest := range batch {
		req.Digests = append(req.Digests, digest.Proto())
	}
	var resp *repb.BatchReadBlobsResponse
	if err := Retry(ctx, func() (err error) { resp, err = c.blobs.BatchReadBlobs(ctx, req); return err }); err != nil {
		return err
	}
	if len(resp.Responses) != len(batch) {
		return fmt.Errorf("reading %d blobs: the server answers with %d", len(batch), len(resp.Responses))
	}
	for i, r := range resp.Responses {
		if err := checkResponse(batch[i], r); err != nil {
			return fmt.Errorf("reading %v: %w", batch[i], err)
		}
		if err := take(batch[i], r.Data); err != nil {
			return err
		}
	}
	return nil
}

// checkResponse returns an error unless a response in a batch holds the blob with the given digest.
func checkResponse(digest Digest, r *repb.BatchReadBlobsResponse_Response) error {
	if err := status.FromProto(r.Status).Err(); err != nil {
		return err
	}
	if Sum(digest.Function, r.Data) != digest {
		return ErrWrongContent
	}
	return nil
}

// MaxBatchedBlob is the size in bytes up to which a blob should be read with ReadMany rather than Read.
const MaxBatchedBlob = 1 << 20
