/// \file
/// Implements Ed25519 and SHA-256 with OpenSSL, and key files.

#include "balsamlatch/Rules/Keys.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/sha.h>
#include <sys/stat.h>
#include <unistd.h>

namespace balsamlatch {

namespace {

constexpr mode_t KeyFileMode = S_IRUSR | S_IWUSR;
constexpr mode_t GroupAndOtherMode = S_IRWXG | S_IRWXO;
constexpr std::size_t MaxKeyFileBytes = 4096;

using ContextPtr = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;
using BufferPtr = std::unique_ptr<BIO, decltype(&BIO_free)>;

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
public:
  explicit FileDescriptor(int Descriptor) : Fd(Descriptor) {}
  ~FileDescriptor() {
    if (Fd >= 0) {
      ::close(Fd);
    }
  }
  FileDescriptor(const FileDescriptor &) = delete;
  FileDescriptor &operator=(const FileDescriptor &) = delete;

  bool isOpen() const { return Fd >= 0; }
  int descriptor() const { return Fd; }

private:
  int Fd;
};

const unsigned char *asBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

EVP_PKEY *nativeKey(const std::shared_ptr<void> &Handle) {
  return static_cast<EVP_PKEY *>(Handle.get());
}

/// Takes ownership of the key.
std::shared_ptr<void> makeKeyHandle(EVP_PKEY *Key) {
  return {Key, [](void *P) { EVP_PKEY_free(static_cast<EVP_PKEY *>(P)); }};
}

int hexValue(char C) {
  if (C >= '0' && C <= '9') {
    return C - '0';
  }
  return C >= 'a' && C <= 'f' ? C - 'a' + 10 : -1;
}

absl::Status fileError(const std::string &Path) {
  return absl::ErrnoToStatus(errno, Path);
}

} // namespace

Digest sha256(std::string_view Text) {
  Digest Result;
  SHA256(asBytes(Text), Text.size(), Result.Bytes.data());
  return Result;
}

std::string toHex(const std::uint8_t *Bytes, std::size_t Size) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Size);
  for (std::size_t I = 0; I < Size; ++I) {
    Text += Digits[Bytes[I] >> 4U];
    Text += Digits[Bytes[I] & 0xfU];
  }
  return Text;
}

bool fromHex(std::string_view Text, std::uint8_t *Bytes, std::size_t Size) {
  if (Text.size() != 2 * Size) {
    return false;
  }
  for (std::size_t I = 0; I < Size; ++I) {
    const int High = hexValue(Text[2 * I]);
    const int Low = hexValue(Text[2 * I + 1]);
    if (High < 0 || Low < 0) {
      return false;
    }
    Bytes[I] = static_cast<std::uint8_t>(High * 16 + Low);
  }
  return true;
}

bool verifySignature(const PublicKey &Key, std::string_view Message,
                     const Signature &SignatureValue) {
  const std::shared_ptr<void> Handle =
      makeKeyHandle(EVP_PKEY_new_raw_public_key(
          EVP_PKEY_ED25519, nullptr, Key.Bytes.data(), Key.Bytes.size()));
  const ContextPtr Context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  return Handle && Context &&
         EVP_DigestVerifyInit(Context.get(), nullptr, nullptr, nullptr,
                              nativeKey(Handle)) == 1 &&
         EVP_DigestVerify(Context.get(), SignatureValue.Bytes.data(),
                          SignatureValue.Bytes.size(), asBytes(Message),
                          Message.size()) == 1;
}

PrivateKey::PrivateKey(std::shared_ptr<void> Key) : Handle(std::move(Key)) {
  std::size_t Size = Public.Bytes.size();
  EVP_PKEY_get_raw_public_key(nativeKey(Handle), Public.Bytes.data(), &Size);
}

absl::StatusOr<PrivateKey> PrivateKey::generate() {
  EVP_PKEY *Key = EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519");
  if (Key == nullptr) {
    return absl::InternalError("could not generate a key");
  }
  return PrivateKey(makeKeyHandle(Key));
}

absl::StatusOr<PrivateKey>
PrivateKey::fromSeed(const std::array<std::uint8_t, 32> &Seed) {
  EVP_PKEY *Key = EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr,
                                               Seed.data(), Seed.size());
  if (Key == nullptr) {
    return absl::InternalError("could not create a key from the seed");
  }
  return PrivateKey(makeKeyHandle(Key));
}

Signature PrivateKey::sign(std::string_view Message) const {
  Signature Result;
  std::size_t Size = Result.Bytes.size();
  const ContextPtr Context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestSignInit(Context.get(), nullptr, nullptr, nullptr,
                     nativeKey(Handle));
  EVP_DigestSign(Context.get(), Result.Bytes.data(), &Size, asBytes(Message),
                 Message.size());
  return Result;
}

std::string PrivateKey::pem() const {
  const BufferPtr Buffer(BIO_new(BIO_s_mem()), &BIO_free);
  PEM_write_bio_PrivateKey(Buffer.get(), nativeKey(Handle), nullptr, nullptr, 0,
                           nullptr, nullptr);
  char *Data = nullptr;
  const long Size = BIO_get_mem_data(Buffer.get(), &Data);
  return {Data, static_cast<std::size_t>(Size)};
}

absl::Status writeKeyFile(const std::string &Path, const PrivateKey &Key) {
  const FileDescriptor KeyFile(::open(
      Path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, KeyFileMode));
  if (!KeyFile.isOpen()) {
    return fileError(Path);
  }
  const std::string Text = Key.pem();
  const ssize_t WrittenBytes =
      ::write(KeyFile.descriptor(), Text.data(), Text.size());
  if (WrittenBytes != static_cast<ssize_t>(Text.size()) ||
      ::fsync(KeyFile.descriptor()) != 0) {
    return fileError(Path);
  }
  return absl::OkStatus();
}

absl::StatusOr<PrivateKey> readKeyFile(const std::string &Path) {
  const FileDescriptor KeyFile(::open(Path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat FileStatus {};
  if (!KeyFile.isOpen() || ::fstat(KeyFile.descriptor(), &FileStatus) != 0) {
    return fileError(Path);
  }
  if ((FileStatus.st_mode & GroupAndOtherMode) != 0) {
    return absl::PermissionDeniedError(
        fmt::format("{}: others may use this key file (mode {:04o}); run "
                    "chmod 600 on it, and change the key if others could "
                    "read it",
                    Path, FileStatus.st_mode & 07777U));
  }
  std::array<char, MaxKeyFileBytes> Text{};
  const ssize_t Size = ::read(KeyFile.descriptor(), Text.data(), Text.size());
  if (Size < 0) {
    return fileError(Path);
  }
  const BufferPtr Buffer(BIO_new_mem_buf(Text.data(), static_cast<int>(Size)),
                         &BIO_free);
  EVP_PKEY *Key =
      PEM_read_bio_PrivateKey(Buffer.get(), nullptr, nullptr, nullptr);
  if (Key == nullptr || EVP_PKEY_get_base_id(Key) != EVP_PKEY_ED25519) {
    EVP_PKEY_free(Key);
    return absl::InvalidArgumentError(
        fmt::format("{}: no private Ed25519 key in PEM", Path));
  }
  return PrivateKey(makeKeyHandle(Key));
}

} // namespace balsamlatch
